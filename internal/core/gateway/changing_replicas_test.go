package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

// TestBusyReadersAreNotReplacedByAll has no answer of a reader reach the other gateways for a while:
// these don't all read the store at once. When it lasts, they do in time to learn that a replica
// leaves.
func TestBusyReadersAreNotReplacedByAll(t *testing.T) {
	notUnderRace(t)
	const (
		gateways, allReaders = 40, 6
		drain                = 3 * time.Second
		busy                 = time.Second
		// The six readers themselves may each call the store for both topics, twice.
		mostCalls = allReaders * 2 * 2
	)
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, gateways, nil)
		defer f.stop()
		record := func(draining bool) {
			f.store.Put(graniteknot.TopicReplicas, "i-1", platformtest.Record("s", "10.9.0.1:80", draining))
		}
		record(false)
		time.Sleep(5 * time.Second)
		order := f.inOrder()
		mute := func(on bool) {
			for _, reader := range order[:allReaders] {
				for _, b := range order[allReaders:] {
					f.net.Cut(reader.ip(), b.ip(), on)
				}
			}
		}
		before := f.replicaReads()
		mute(true)
		time.Sleep(busy)
		mute(false)
		if calls := f.replicaReads() - before; calls > mostCalls {
			t.Errorf("%d reads of the replicas while readers were busy for %v, %d may be", calls, busy, mostCalls)
		}
		time.Sleep(2 * time.Second)
		mute(true)
		record(true)
		time.Sleep(drain)
		for _, b := range f.boxes {
			if _, usable := b.Fleet.Count("s", b.Clock.Now()); usable > 0 {
				t.Errorf("%s does not know after %v that the replica leaves", b.config.Box, drain)
			}
		}
	})
}

// replicaReads counts the calls of all boxes for the replicas' records.
func (f *virtualFleet) replicaReads() int {
	n := 0
	for _, b := range f.boxes {
		b.way.mu.Lock()
		n += b.way.replicaReads
		b.way.mu.Unlock()
	}
	return n
}
