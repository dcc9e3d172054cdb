package fleet_test

import (
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// groups returns a table of groups of four engines each, which show different things.
func groups(now time.Time, loads ...fleet.Load) *fleet.Table {
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

// TestGroupsDoNotBindEachOther gives each group of a service as many requests as its own
// passes bear: one under an uneven map, one that does not run and one that loads experts
// keep nothing from the others.
func TestGroupsDoNotBindEachOther(t *testing.T) {
	now := time.Now()
	even := fleet.Load{Forecast: fleet.Forecast{Skew: 1, Number: 1}}
	uneven := fleet.Load{Forecast: fleet.Forecast{Skew: 5, Number: 1}}
	for name, x := range map[string]struct {
		loads []fleet.Load
		want  int
	}{
		"both even":       {[]fleet.Load{even, even}, 2 * 4 * 12},
		"one uneven":      {[]fleet.Load{even, uneven}, 4*12 + 4*4 + 1},
		"one closed":      {[]fleet.Load{even, {GroupDown: true}}, 4 * 12},
		"all three apart": {[]fleet.Load{even, uneven, {GroupDown: true}}, 4*12 + 4*4 + 1},
	} {
		if got := taken(groups(now, x.loads...), 0, now); got != x.want {
			t.Errorf("%s: %d requests, want %d", name, got, x.want)
		}
	}
}

// TestGroupsPassesAreEvened sends fewer requests to the group whose work takes longer, so
// that the passes of both take as long.
func TestGroupsPassesAreEvened(t *testing.T) {
	now := time.Now()
	table := groups(now, fleet.Load{Forecast: fleet.Forecast{Skew: 1, Number: 1}}, fleet.Load{Forecast: fleet.Forecast{Skew: 3, Number: 1}})
	sent := map[string]int{}
	for range 40 {
		l := table.Pick(&fleet.Query{Service: grouped, MaxGap: usefulGap, Now: now})
		sent[l.Replica.Group]++
	}
	// The work of the second takes 0.15 + 0.85 * 3 = 2.7 times as long.
	if sent["B"] == 0 || sent["A"] < 2*sent["B"] || sent["A"] > 4*sent["B"] {
		t.Errorf("%d and %d requests", sent["A"], sent["B"])
	}
}
