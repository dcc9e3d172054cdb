package fleet_test

import (
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
)

// lived is a record of a life at the address "a".
func lived(id catalog.ReplicaID, at int64) catalog.Replica {
	r := replica(id)
	r.Address, r.Service = "a", "s"
	r.Written = graniteknot.Position(at)
	return r
}

// TestReportsSpeakForTheirLife has the sidecar at an address tell of a life whose record
// is yet to be read, as after a loss of power: the former one there gets no request,
// whether its record was read before or after the sidecar told, and the records are read
// soon. The new one gets requests as soon as its record is there.
func TestReportsSpeakForTheirLife(t *testing.T) {
	start := time.Now()
	told := fleet.Load{Life: catalog.Life{ID: "new"}.Mark(), Taken: start}
	for name, order := range map[string][]func(*fleet.Table){
		"record first": {
			func(x *fleet.Table) { x.Put(lived("old", 1), start.Add(-time.Second)) },
			func(x *fleet.Table) { x.Report("a", told) },
		},
		"sidecar first": {
			func(x *fleet.Table) { x.Report("a", told) },
			func(x *fleet.Table) { x.Put(lived("old", 1), start.Add(100*time.Millisecond)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := &fleet.Table{}
			for _, step := range order {
				step(table)
			}
			now := start.Add(200 * time.Millisecond)
			if l := table.Pick(&fleet.Query{Service: engine, Now: now}); l != nil {
				t.Errorf("a request was sent to %q, which has ended", l.Replica.ID)
			}
			if !table.RecordsStale(now) {
				t.Error("the records are not read soon")
			}
			table.Put(lived("new", 2), now)
			l := table.Pick(&fleet.Query{Service: engine, Now: now})
			if l == nil || l.Replica.ID != "new" {
				t.Errorf("the new life got nothing: %v", l)
			}
			if table.RecordsStale(now) {
				t.Error("the records are still read soon")
			}
		})
	}
}

// TestHeartbeatsOutweighAStaleSidecar has a sidecar that did not notice its replica's
// end: the next life gets requests from its first heartbeat on.
func TestHeartbeatsOutweighAStaleSidecar(t *testing.T) {
	start := time.Now()
	table := &fleet.Table{}
	table.Report("a", fleet.Load{Life: catalog.Life{ID: "old"}.Mark(), Taken: start})
	table.Put(lived("new", 5), start.Add(time.Second))
	table.Put(lived("new", 6), start.Add(2*time.Second))
	now := start.Add(2100 * time.Millisecond)
	table.Report("a", fleet.Load{Life: catalog.Life{ID: "old"}.Mark(), Taken: now})
	if l := table.Pick(&fleet.Query{Service: engine, Now: now}); l == nil {
		t.Error("a replica whose heartbeats come got nothing")
	}
}

// TestLivesWithoutMarks takes reports of sidecars that know no life as before.
func TestLivesWithoutMarks(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	table.Put(lived("x", 1), now)
	table.Report("a", fleet.Load{Taken: now})
	if l := table.Pick(&fleet.Query{Service: engine, Now: now}); l == nil || table.RecordsStale(now) {
		t.Error("a report without a mark counts against its replica")
	}
}

// reborn is a record of a life of the replica "x" at the address "a".
func reborn(born graniteknot.Born, at int64) catalog.Replica {
	r := lived("x", at)
	r.Born = born
	return r
}

// TestNextLifeUnderTheSameID knows nothing of the former one: neither that it was leaving,
// nor its failures, nor that it was tried. What the former one had is made elsewhere, and a
// late record of it changes nothing.
func TestNextLifeUnderTheSameID(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	former := reborn(100, 1)
	table.Put(former, now)
	query := &fleet.Query{Service: plain, Now: now}
	for range 4 {
		table.Pick(query).End(fleet.VerdictBad, now)
	}
	held := table.Pick(&fleet.Query{Service: plain, Now: now.Add(time.Minute)})
	moved := 0
	held.OnReroute(func() { moved++ })
	former.Draining, former.Written = true, 2
	table.Put(former, now)
	before := table.Digest()
	if !table.Put(reborn(90, 3), now) {
		t.Error("the next life was taken for a heartbeat")
	}
	if table.Digest() == before {
		t.Error("the digest does not tell the lives apart")
	}
	if table.Put(reborn(100, 2), now) {
		t.Error("a late record of the former life was taken")
	}
	tried := &fleet.Query{Service: plain, Now: now, Tried: []catalog.Life{former.Life()}}
	l := table.Pick(tried)
	if l == nil || l.Replica.Born != 90 || l.Inputs.Own != 0 || l.Inputs.Probe {
		t.Fatalf("%+v", l)
	}
	_, stuck := table.Sweep(now)
	for _, s := range stuck {
		s.Reroute()
	}
	if moved != 1 {
		t.Errorf("the request at the former life was moved %d times", moved)
	}
	held.End(fleet.VerdictBad, now)
	if l := table.Pick(query); l == nil || l.Inputs.Own != 1 {
		t.Errorf("the end of a request at the former life counts for the next: %+v", l)
	}
}

// TestSidecarsTellLivesOfTheSameID apart: until the record of the one that is there now is
// read, nothing is sent to it as if it were the former.
func TestSidecarsTellLivesOfTheSameID(t *testing.T) {
	now := time.Now()
	table := &fleet.Table{}
	table.Put(reborn(100, 1), now)
	next := reborn(50, 2)
	table.Report("a", fleet.Load{Life: next.Life().Mark(), Taken: now.Add(time.Second)})
	later := now.Add(1100 * time.Millisecond)
	if l := table.Pick(&fleet.Query{Service: engine, Now: later}); l != nil {
		t.Errorf("a request was sent to %v, which has ended", l.Replica.Life())
	}
	if !table.RecordsStale(later) {
		t.Error("the records are not read soon")
	}
	table.Put(next, later)
	if l := table.Pick(&fleet.Query{Service: engine, Now: later}); l == nil || l.Replica.Born != 50 {
		t.Errorf("the next life got nothing: %+v", l)
	}
}

// TestLateHeartbeatsOfALifeThatHasEnded has a heartbeat read late that was written before the sidecar
// told of the next life: the former one gets nothing for it.
func TestLateHeartbeatsOfALifeThatHasEnded(t *testing.T) {
	start := time.Now()
	table := &fleet.Table{}
	table.Put(lived("old", 1), start.Add(-time.Second))
	table.Report("a", fleet.Load{Life: catalog.Life{ID: "new"}.Mark(), Taken: start})
	now := start.Add(time.Second)
	table.PutSince(lived("old", 2), start.Add(-500*time.Millisecond), now)
	if l := table.Pick(&fleet.Query{Service: engine, Now: now}); l != nil {
		t.Errorf("a request was sent to %q, which has ended", l.Replica.ID)
	}
}
