package quarantine

import "time"

const (
	// maxGenerationKeys bounds each of the two generations of keys; that is 100 KB each.
	maxGenerationKeys = 4096
	// generationPeriod is how long a generation takes keys, unless it fills up before.
	generationPeriod = 10 * time.Minute
)

// recentKeys holds the keys of recently answered requests: at least the last
// maxGenerationKeys, or those of the last ten minutes. A request that many clients send
// is in progress at most replicas, hence also at any replica that crashes; an earlier
// response shows that it does not crash every replica that starts it. The zero value is
// empty.
type recentKeys struct {
	current, previous map[Key]struct{}
	// started is when the current generation began.
	started time.Time
}

func (r *recentKeys) add(k Key, at time.Time) {
	if r.current == nil || len(r.current) >= maxGenerationKeys || at.Sub(r.started) > generationPeriod {
		r.current, r.previous, r.started = map[Key]struct{}{}, r.current, at
	}
	r.current[k] = struct{}{}
}

func (r *recentKeys) contains(k Key) bool {
	_, inCurrent := r.current[k]
	_, inPrevious := r.previous[k]
	return inCurrent || inPrevious
}
