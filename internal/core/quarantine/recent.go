package quarantine

import "time"

const (
	// mostRecent bounds the keys of one of the two generations: 100 KB each.
	mostRecent = 4096
	// recentFor is for how long a generation takes keys, if it is not full before.
	recentFor = 10 * time.Minute
)

// recent holds the keys of requests that were answered of late: at least the last mostRecent, or
// those of the last ten minutes. A request that many callers send is under way at most
// replicas, so that it is among those at any that ends; that it was answered before shows
// that it does not end each that begins it. The zero value is empty.
type recent struct {
	now, before map[Key]struct{}
	// begun is when the present generation began.
	begun time.Time
}

func (r *recent) add(k Key, at time.Time) {
	if r.now == nil || len(r.now) >= mostRecent || at.Sub(r.begun) > recentFor {
		r.now, r.before, r.begun = map[Key]struct{}{}, r.now, at
	}
	r.now[k] = struct{}{}
}

func (r *recent) has(k Key) bool {
	_, now := r.now[k]
	_, before := r.before[k]
	return now || before
}
