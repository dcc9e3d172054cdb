package gateway_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

// TestRecordsOfOtherWriters has another writer put records that can't be used beside those
// of a replica, over one of them, and among the settings and the members: they name no
// replica, the others hold, and neither the log nor the calls to the store grow with them.
func TestRecordsOfOtherWriters(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	kept, lost := newReplica(t, "i-kept"), newReplica(t, "i-lost")
	d.replica(kept, false)
	d.replica(lost, false)
	d.put()
	var out safeBuffer
	lines := eventlog.NewWriter(&out)
	b := startLogged(t, store, lines, nil)
	defer b.stop()
	eventually(t, "both are known", func() bool { return len(b.Fleet.IDs()) == 2 })
	store.Put(graniteknot.TopicReplicas, "i-lost", []byte(`{"phase":"resting"}`))
	// Another service's replica at the address of one that is kept.
	store.Put(graniteknot.TopicReplicas, "i-other", platformtest.Record("nobody's", kept.Address(), false))
	eventually(t, "one is left", func() bool { return len(b.Fleet.IDs()) == 1 })
	before := store.Calls()
	began := time.Now()
	const many = 300
	for i := range many {
		store.Put(graniteknot.TopicReplicas, fmt.Sprint("odd-", i%7), []byte(fmt.Sprintf("{%d", i)))
		store.Put(graniteknot.TopicSettings, "config", []byte(fmt.Sprintf("{%d", i)))
		store.Put(graniteknot.TopicMembers, fmt.Sprint("odd-", i), []byte("null"))
		store.Put(graniteknot.TopicQuarantine, fmt.Sprint("odd-", i), []byte("null"))
		if status := b.ask("/repeat/x", "k1").status; status != http.StatusOK {
			t.Fatalf("after %d odd records: %d", i, status)
		}
	}
	// Five reads of the settings a second, three of the requests that end replicas and two of
	// the members, and one of the replicas each 0.9 s.
	const perSecond = 12
	if calls, most := store.Calls()-before, int(perSecond*time.Since(began).Seconds())+perSecond; calls > most {
		t.Errorf("%d calls to the store in %v", calls, time.Since(began))
	}
	eventually(t, "the odd ones are counted", func() bool {
		var text bytes.Buffer
		b.Meter.Write(&text)
		return strings.Contains(text.String(), `graniteknot_malformed_records_total{record="replica"}`)
	})
	lines.Close(time.Second)
	if n := strings.Count(out.String(), "malformed"); n == 0 || n > 60 {
		t.Errorf("%d lines tell of odd records", n)
	}
	if n := len(b.Fleet.IDs()); n != 1 {
		t.Errorf("%d replicas are known", n)
	}
	d.replica(lost, false)
	eventually(t, "its next heartbeat brings it back", func() bool { return len(b.Fleet.IDs()) == 2 })
}

// TestReplicaOfAServiceThatGoes forgets a replica when its service is no more configured.
func TestReplicaOfAServiceThatGoes(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	r := newReplica(t, "i-1")
	d.replica(r, false)
	d.put()
	b := start(t, store, func(c *directconf.Config) { c.KeyAge = time.Hour })
	defer b.stop()
	eventually(t, "known", func() bool { return len(b.Fleet.IDs()) == 1 && b.ask("/repeat/x", "k1").status == http.StatusOK })
	store.Put(graniteknot.TopicSettings, "config", platformtest.Config(2, "h.example", "another", d.keys))
	eventually(t, "forgotten", func() bool { return len(b.Fleet.IDs()) == 0 })
}

// safeBuffer keeps what is written to it from any goroutine.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what was written.
func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
