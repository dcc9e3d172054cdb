package fleet

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// Report updates the load of the replica at an address.
func (t *Table) Report(a graniteknot.Address, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteReportedLife(a, l.Life, l.Taken)
	for _, x := range t.addresses[a] {
		if l.Taken.After(x.load.Taken) && !x.superseded {
			x.load = l
			t.serveQueue(x.replica.Service, l.Taken)
		}
	}
}

// RepeatReports records that the replicas at addresses with the given hashes still have the load
// that another gateway relayed last, as of a time. A replica without a report has to wait for a
// full one.
func (t *Table) RepeatReports(hashes []uint32, taken time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hash := range hashes {
		a := t.addressHashes[hash]
		for _, x := range t.addresses[a] {
			if !x.load.Taken.IsZero() && taken.After(x.load.Taken) && !x.superseded {
				x.load.Taken, x.load.Relayed = taken, true
			}
		}
	}
	for s := range t.queues {
		t.serveQueue(s, taken)
	}
}
