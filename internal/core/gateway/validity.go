package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// validity knows how old the replicas' records are. The zero value has none.
type validity struct {
	mu sync.Mutex
	// proved is the start of the last read that showed the replicas' records, or
	// of the question whose answer did, less its age.
	proved time.Time
	// preferred is the place of the reader that is asked first: the one that last proved
	// something. At the start each gateway takes another one.
	preferred int
	begun     bool
	// probed is when each topic's records were last read, or tried to be read,
	// while the store did not answer.
	probed map[presence.QueryKind]time.Time
	// doubted is since when readers that answer prove nothing of a topic.
	doubted map[presence.QueryKind]time.Time
}

// probeDue tells whether a store that does not answer is to be called again.
func (v *validity) probeDue(kind presence.QueryKind, period time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.probed == nil {
		v.probed = map[presence.QueryKind]time.Time{}
	}
	if now.Sub(v.probed[kind]) < period {
		return false
	}
	v.probed[kind] = now
	return true
}

// doubt notes whether readers that answer prove nothing, and returns for how long.
func (v *validity) doubt(kind presence.QueryKind, doubted bool, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.doubted == nil {
		v.doubted = map[presence.QueryKind]time.Time{}
	}
	if !doubted {
		delete(v.doubted, kind)
		return 0
	}
	since, known := v.doubted[kind]
	if !known {
		v.doubted[kind], since = now, now
	}
	return now.Sub(since)
}

func (v *validity) prove(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.proved) {
		v.proved = at
	}
}

// since returns from when on records may have been written that were not known; zero is any time.
func (v *validity) since() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proved
}

func (v *validity) age(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.proved), !v.proved.IsZero()
}

// first returns the place of the reader that is asked first.
func (v *validity) first() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.begun {
		v.begun, v.preferred = true, rand.IntN(math.MaxInt32)
	}
	return v.preferred
}

// prefer has the reader at a place asked first from now on.
func (v *validity) prefer(place int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.preferred = place
}
