package evacuation

import (
	"maps"
	"slices"
	"sync"

	graniteknot "graniteknot.org/go"
)

// Change is an operator's record about a zone.
type Change struct {
	Zone      graniteknot.AvailabilityZone
	Evacuated bool
}

// Read is what a read of the settings topic returned about evacuations.
type Read struct {
	// Changes are in the order of the topic.
	Changes []Change
	// Through is the position that the read reached.
	Through graniteknot.Position
	// Full reads return the newest record of each key: zones without one are not evacuated.
	Full bool
	// Behind is set while the store, restored from an older copy, has not shown the
	// configuration in force yet. Evacuations that it lacks may be lost with it, and stay in
	// force meanwhile.
	Behind bool
}

// Table holds the evacuated zones. The zero value knows none.
type Table struct {
	mu      sync.Mutex
	through graniteknot.Position
	// zones are the evacuated zones. The value is true for those that the store lacks since it
	// was restored from an older copy.
	zones map[graniteknot.AvailabilityZone]bool
	// used is set once a zone was evacuated.
	used bool
}

// Apply applies a read of the store, and reports whether a zone was evacuated or taken back. A
// read that reached less far than the state is ignored.
func (t *Table) Apply(r *Read) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Through < t.through {
		return false
	}
	before := t.state()
	if t.zones == nil {
		t.zones = map[graniteknot.AvailabilityZone]bool{}
	}
	if r.Full {
		for z := range t.zones {
			t.zones[z] = true
		}
	}
	for _, c := range r.Changes {
		if c.Evacuated {
			t.zones[c.Zone] = false
		} else {
			delete(t.zones, c.Zone)
		}
	}
	if !r.Behind {
		maps.DeleteFunc(t.zones, func(_ graniteknot.AvailabilityZone, lost bool) bool { return lost })
	}
	t.through = r.Through
	t.used = t.used || len(t.zones) > 0
	return !slices.Equal(before.Zones, t.state().Zones)
}

// Merge applies the state of another gateway if it reaches further, and reports whether a zone was
// evacuated or taken back.
func (t *Table) Merge(s *State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Through <= t.through {
		return false
	}
	before := t.state()
	t.through, t.zones = s.Through, map[graniteknot.AvailabilityZone]bool{}
	for _, z := range s.Zones {
		t.zones[z] = false
	}
	t.used = t.used || len(t.zones) > 0
	return !slices.Equal(before.Zones, s.Zones)
}

// Used reports whether a zone was ever evacuated.
func (t *Table) Used() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used
}

// State returns the state.
func (t *Table) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state()
}

// state is State with the lock held by the caller.
func (t *Table) state() State {
	return State{Through: t.through, Zones: slices.Sorted(maps.Keys(t.zones))}
}
