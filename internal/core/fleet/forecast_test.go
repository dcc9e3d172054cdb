package fleet_test

import (
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// TestNewestForecastWins checks that a group's newest forecast is used, whichever
// sidecar relays it, and each group's own.
func TestNewestForecastWins(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	put := func(id, group string, skew float64, number uint64) {
		r := replica(catalog.ReplicaID(id))
		r.Group = group
		table.Put(r, now.Add(-time.Hour))
		table.Report(r.Address, fleet.Load{Running: 1, Taken: now, Forecast: fleet.Forecast{Skew: skew, Number: number}})
	}
	put("a", "g", 3.4, 7)
	put("b", "g", 1.2, 9)
	put("c", "g", 3.4, 8)
	put("d", "h", 1.5, 2)
	for skew, tried := range map[float64][]catalog.Life{1.2: {{ID: "d"}}, 1.5: {{ID: "a"}, {ID: "b"}, {ID: "c"}}} {
		lease := table.Pick(&fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now, Tried: tried})
		if lease == nil || lease.Inputs.Skew != skew {
			t.Errorf("want skew %v, got lease %+v", skew, lease)
		}
	}
}
