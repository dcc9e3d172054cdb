package evacuation_test

import (
	"reflect"
	"testing"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/evacuation"
)

func evacuate(zones ...graniteknot.AvailabilityZone) []evacuation.Change {
	var out []evacuation.Change
	for _, z := range zones {
		out = append(out, evacuation.Change{Zone: z, Evacuated: true})
	}
	return out
}

func expect(t *testing.T, table *evacuation.Table, zones ...graniteknot.AvailabilityZone) {
	t.Helper()
	state := table.State()
	if len(state.Zones) != len(zones) || len(zones) > 0 && !reflect.DeepEqual(state.Zones, zones) {
		t.Errorf("evacuated zones %v, want %v", state.Zones, zones)
	}
}

func TestReadsAreAppliedInOrder(t *testing.T) {
	var table evacuation.Table
	if !table.Apply(&evacuation.Read{Changes: evacuate("b", "a"), Through: 5, Full: true}) {
		t.Error("a first evacuation is no change")
	}
	expect(t, &table, "a", "b")
	table.Apply(&evacuation.Read{Changes: []evacuation.Change{{Zone: "a"}}, Through: 6})
	expect(t, &table, "b")
	if table.Apply(&evacuation.Read{Changes: evacuate("a"), Through: 5, Full: true}) {
		t.Error("an older read is a change")
	}
	expect(t, &table, "b")
	table.Apply(&evacuation.Read{Through: 8, Full: true})
	expect(t, &table)
}

func TestOlderStatesOfOtherGatewaysAreIgnored(t *testing.T) {
	var table evacuation.Table
	newer := evacuation.State{Through: 7, Zones: []graniteknot.AvailabilityZone{"a"}}
	if !table.Merge(&newer) || table.Merge(&evacuation.State{Through: 6}) {
		t.Error("states are not ordered by position")
	}
	expect(t, &table, "a")
	if !table.Merge(&evacuation.State{Through: 8}) {
		t.Error("a zone that is taken back is no change")
	}
	expect(t, &table)
}

func TestRestoredStoreDoesNotTakeZonesBack(t *testing.T) {
	var table evacuation.Table
	era := func(offset int64) graniteknot.Position { return graniteknot.PositionOf(1, offset) }
	table.Apply(&evacuation.Read{Changes: evacuate("a", "b"), Through: 9, Full: true})
	table.Apply(&evacuation.Read{Through: era(4), Full: true, Behind: true})
	expect(t, &table, "a", "b")
	table.Apply(&evacuation.Read{Changes: []evacuation.Change{{Zone: "b"}}, Through: era(5), Behind: true})
	expect(t, &table, "a")
	table.Apply(&evacuation.Read{Changes: evacuate("a"), Through: era(6), Behind: true})
	table.Apply(&evacuation.Read{Through: era(7)})
	expect(t, &table, "a")
	table.Apply(&evacuation.Read{Through: era(8), Full: true})
	expect(t, &table)
}

func TestZonesLostWithTheStoreEndWithItsReturn(t *testing.T) {
	var table evacuation.Table
	table.Apply(&evacuation.Read{Changes: evacuate("a"), Through: 9, Full: true})
	table.Apply(&evacuation.Read{Through: graniteknot.PositionOf(1, 4), Full: true, Behind: true})
	expect(t, &table, "a")
	table.Apply(&evacuation.Read{Through: graniteknot.PositionOf(1, 5)})
	expect(t, &table)
}

func FuzzState(f *testing.F) {
	for _, s := range []evacuation.State{{}, {Through: 300, Zones: []graniteknot.AvailabilityZone{"", "north"}}} {
		b, _ := s.Append(nil)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, rest, err := evacuation.Decode(b)
		if err != nil {
			return
		}
		out, fits := s.Append(nil)
		if !fits {
			return
		}
		again, tail, err := evacuation.Decode(append(out, rest...))
		if err != nil || !reflect.DeepEqual(again, s) || string(tail) != string(rest) {
			t.Errorf("decoded %+v, then %+v, %v", s, again, err)
		}
	})
}
