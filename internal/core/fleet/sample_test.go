package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// TestGatewaysDoNotCrowdOneEngine has many gateways choose between two reports, when one
// engine reports the least load: without sampling all would choose that one.
func TestGatewaysDoNotCrowdOneEngine(t *testing.T) {
	const (
		gateways = 40
		engines  = 63
		// most is far above what random choices of the better of two give, and far below
		// the number of gateways.
		most = 12
	)
	now := time.Now()
	chosen := map[catalog.ReplicaID]int{}
	for range gateways {
		table := &fleet.Table{}
		table.SetGateways(gateways)
		for i := range engines {
			id := catalog.ReplicaID(fmt.Sprint("engine-", i))
			table.Put(replica(id), now.Add(-time.Hour))
			table.Report(replica(id).Address, fleet.Load{Running: min(i, 1), Taken: now})
		}
		// A few requests, ended since, set the rate.
		for range 3 {
			acquireAt(t, table, now).End(fleet.VerdictGood, now)
		}
		chosen[acquireAt(t, table, now).Replica.ID]++
	}
	for id, n := range chosen {
		if n > most {
			t.Errorf("%d of %d gateways chose %s", n, gateways, id)
		}
	}
}

// TestIdleGatewaysCompareAllEngines checks that the least busy engine is found when no
// other gateway sends requests between two reports.
func TestIdleGatewaysCompareAllEngines(t *testing.T) {
	table := newTable("a", "b", "c", "d", "e", "f")
	table.SetGateways(1)
	now := time.Now()
	for _, id := range []catalog.ReplicaID{"a", "b", "c", "d", "f"} {
		table.Report(replica(id).Address, fleet.Load{Running: 2, Taken: now})
	}
	table.Report("e", fleet.Load{Running: 1, Taken: now})
	for range 20 {
		l := acquireAt(t, table, now)
		if l.Replica.ID != "e" {
			t.Fatalf("chose %s", l.Replica.ID)
		}
		l.End(fleet.VerdictGood, now)
	}
}
