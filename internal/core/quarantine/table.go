package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// keepBlocking is for how long a request is kept from replicas: longer than a fault
	// in the replicas' software takes to be found and mended.
	keepBlocking = 24 * time.Hour
	// keepOther is for how long it is known that one replica ended under a request, or
	// that it was released.
	keepOther = 10 * time.Minute
	// suspectFor is for how long a request is kept from replicas under which one ended that
	// had answered nothing of it yet. A request that ends whoever begins it is among the
	// few that had just begun, and comes again soon; the second end, which would tell it from
	// the others, costs all callers of a lock-step group its stand. Of the others none had been
	// answered anything, and their group stands for as long as their callers wait.
	suspectFor = time.Minute
	// mostEntries bounds a table: 100 KB.
	mostEntries = 1024
	// atOnce is the time within which at most mostAtOnce ends are taken for a request's
	// doing. A loss of power ends hundreds of replicas, each under a dozen requests.
	atOnce     = time.Second
	mostAtOnce = 3
)

// Table knows the requests under which replicas ended. The zero value is empty.
type Table struct {
	// OnChange is told of each entry that this process's own requests changed. Set before
	// use; nil for nobody.
	OnChange func(Entry)

	mu    sync.Mutex
	items map[Key]*item
	// digest is the sum of all entries.
	digest uint64
	// answered are the requests that this process saw answered.
	answered recent
	// ends are the lives that ended of late.
	ends []end
	// count is the number of items, read on each request's way.
	count atomic.Int32
}

// end is the end of a replica's life.
type end struct {
	life catalog.Mark
	at   time.Time
}

// Empty tells whether nothing is known of any request.
func (t *Table) Empty() bool { return t.count.Load() == 0 }

// Blocked tells whether a request is kept from replicas now: for long, or as a suspect.
func (t *Table) Blocked(k Key, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.items[k]
	return i != nil && i.keeps(now)
}

// Quarantined tells whether a request is kept from replicas for long, under which enough ended.
func (t *Table) Quarantined(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.items[k]
	return i != nil && i.Quarantined()
}

// RecordCrash notes that a replica ended while it worked on a request. It returns false where
// so many end at once that the requests are not the cause.
func (t *Table) RecordCrash(k Key, life catalog.Mark, now time.Time) bool {
	return t.end(Entry{Key: k, CrashedReplicas: []catalog.Mark{life}}, now)
}

// RecordCrashBeforeResponse notes the same of a replica that had answered nothing of the request, and
// whose end costs others much: the request is a suspect.
func (t *Table) RecordCrashBeforeResponse(k Key, life catalog.Mark, now time.Time) bool {
	return t.end(Entry{Key: k, CrashedReplicas: []catalog.Mark{life}, Suspect: true}, now)
}

func (t *Table) end(e Entry, now time.Time) bool {
	if !t.single(e.CrashedReplicas[0], now) {
		return false
	}
	e.Released = t.seenAnswered(e.Key)
	t.own(e, now)
	return true
}

// seenAnswered tells whether the request was answered of late.
func (t *Table) seenAnswered(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered.has(k)
}

// RecordResponse notes that a replica answered a request: it does not end each that begins it.
func (t *Table) RecordResponse(k Key, now time.Time) {
	t.mu.Lock()
	t.answered.add(k, now)
	known := t.items[k] != nil
	t.mu.Unlock()
	if known {
		t.own(Entry{Key: k, Released: true}, now)
	}
}

// single tells whether few replicas end at a time.
func (t *Table) single(life catalog.Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends = slices.DeleteFunc(t.ends, func(e end) bool { return now.Sub(e.at) > atOnce })
	if slices.ContainsFunc(t.ends, func(e end) bool { return e.life == life }) {
		return true
	}
	if len(t.ends) >= mostAtOnce {
		return false
	}
	t.ends = append(t.ends, end{life, now})
	return true
}

// own takes in what this process found out, and tells it.
func (t *Table) own(e Entry, now time.Time) {
	if !t.Merge(&e, now) || t.OnChange == nil {
		return
	}
	if whole, known := t.Entry(e.Key, now); known {
		t.OnChange(whole)
	}
}

// Merge takes in what is known elsewhere; false when nothing is new.
func (t *Table) Merge(e *Entry, now time.Time) bool {
	since := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
	fresh := item{Entry: Entry{Key: e.Key}, since: since}
	fresh.merge(e)
	if fresh.over(now) || len(e.CrashedReplicas) == 0 && !e.Released {
		return false
	}
	t.mu.Lock()
	i := t.items[e.Key]
	if i == nil {
		i = t.add(&fresh, now)
		t.mu.Unlock()
		return i != nil
	}
	if since.Before(i.since) {
		i.since = since
	}
	before := i.sum()
	changed := i.merge(e)
	t.digest ^= before ^ i.sum()
	var wake []*func()
	if changed && i.keeps(now) {
		for w := range i.waiting {
			wake = append(wake, w)
		}
	}
	t.mu.Unlock()
	for _, w := range wake {
		(*w)()
	}
	return changed
}

// add takes in an item that is new; nil where there is no room. Called with the lock held.
func (t *Table) add(fresh *item, now time.Time) *item {
	if len(t.items) >= mostEntries {
		t.expire(now)
	}
	if len(t.items) >= mostEntries && !t.evict(fresh) {
		return nil
	}
	if t.items == nil {
		t.items = map[Key]*item{}
	}
	t.items[fresh.Key] = fresh
	t.digest ^= fresh.sum()
	t.count.Store(int32(len(t.items)))
	return fresh
}

// evict makes room for an item: the oldest goes of those that block nothing, and else the
// oldest of all, but none that blocks for one that does not. Called with the lock held.
func (t *Table) evict(fresh *item) bool {
	var oldest *item
	for _, i := range t.items {
		if oldest == nil || oldest.Quarantined() && !i.Quarantined() || oldest.Quarantined() == i.Quarantined() && i.since.Before(oldest.since) {
			oldest = i
		}
	}
	if oldest.Quarantined() && !fresh.Quarantined() {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *Table) remove(i *item) {
	delete(t.items, i.Key)
	t.digest ^= i.sum()
	t.count.Store(int32(len(t.items)))
}

// Expire forgets the entries that have stood for long enough, and returns the keys of
// those that blocked.
func (t *Table) Expire(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expire(now)
}

func (t *Table) expire(now time.Time) []Key {
	var out []Key
	for k, i := range t.items {
		if !i.over(now) {
			continue
		}
		if i.Quarantined() {
			out = append(out, k)
		}
		t.remove(i)
	}
	return out
}

// Digest is a sum of all entries, the same for all who know the same.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Entries returns all entries, in the order of their keys.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Entry, 0, len(t.items))
	for _, i := range t.items {
		out = append(out, i.told(now))
	}
	slices.SortFunc(out, func(a, b Entry) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return out
}

// QuarantinedCount counts the requests that are kept from replicas.
func (t *Table) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, i := range t.items {
		if i.Quarantined() {
			n++
		}
	}
	return n
}

// Entry returns what is known of a request; false when nothing is.
func (t *Table) Entry(k Key, now time.Time) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.items[k]; i != nil {
		return i.told(now), true
	}
	return Entry{}, false
}

// told is the entry as it is told to others.
func (i *item) told(now time.Time) Entry {
	e := i.Entry
	e.AgeMillis = now.Sub(i.since).Milliseconds()
	return e
}
