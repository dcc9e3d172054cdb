package fleet_test

import (
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// newGroupsTable returns a table of groups of four engines; all engines of a group
// report the same load.
func newGroupsTable(now time.Time, loads ...fleet.Load) *fleet.Table {
	t := &fleet.Table{}
	for g, l := range loads {
		for i := range 4 {
			r := replica(catalog.ReplicaID(rune('a' + 4*g + i)))
			r.Group = string(rune('A' + g))
			t.Put(r, now.Add(-time.Hour))
			l.Taken = now
			t.Report(r.Address, l)
		}
	}
	return t
}

// TestGroupCapacitiesAreIndependent checks that each group of a service gets as many
// requests as its own passes allow: one with an uneven map or one that is down doesn't
// restrict the others.
func TestGroupCapacitiesAreIndependent(t *testing.T) {
	now := time.Now()
	even := fleet.Load{Forecast: fleet.Forecast{Skew: 1, Number: 1}}
	uneven := fleet.Load{Forecast: fleet.Forecast{Skew: 5, Number: 1}}
	for name, c := range map[string]struct {
		loads []fleet.Load
		want  int
	}{
		"both even":             {[]fleet.Load{even, even}, 2 * 4 * 12},
		"one uneven":            {[]fleet.Load{even, uneven}, 4*12 + 4*4 + 1},
		"one down":              {[]fleet.Load{even, {GroupDown: true}}, 4 * 12},
		"even, uneven and down": {[]fleet.Load{even, uneven, {GroupDown: true}}, 4*12 + 4*4 + 1},
	} {
		if got := countAccepted(newGroupsTable(now, c.loads...), 0, now); got != c.want {
			t.Errorf("%s: %d requests, want %d", name, got, c.want)
		}
	}
}

// TestPassTimesAreBalancedBetweenGroups checks that the group whose work takes longer
// gets fewer requests, so that passes take equally long in both.
func TestPassTimesAreBalancedBetweenGroups(t *testing.T) {
	now := time.Now()
	table := newGroupsTable(now, fleet.Load{Forecast: fleet.Forecast{Skew: 1, Number: 1}}, fleet.Load{Forecast: fleet.Forecast{Skew: 3, Number: 1}})
	sent := map[string]int{}
	for range 40 {
		l := table.Pick(&fleet.Query{Service: groupedService, MaxGap: usefulGap, Now: now})
		sent[l.Replica.Group]++
	}
	// The work of the second takes 0.15 + 0.85 * 3 = 2.7 times as long.
	if sent["B"] == 0 || sent["A"] < 2*sent["B"] || sent["A"] > 4*sent["B"] {
		t.Errorf("%d requests to the even group, %d to the uneven one", sent["A"], sent["B"])
	}
}
