package fleet

import (
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// gapShare is the part of the longest useful pause that passes are meant to
	// take; the rest is for the way, and for passes that read long prompts.
	gapShare = 0.88
	// leastWriters is how many requests an engine gets however slow it is.
	leastWriters = 2
)

// room is how many requests an engine may have so that the pauses between
// events stay within the gap. A pass grows with the requests that write:
// from how long passes take now, with the mean number that runs now, follows
// with how many they would take the gap.
func room(e *catalog.Engine, gap, pass time.Duration, running float64) int {
	most := e.Slots
	if gap <= 0 || pass <= 0 || e.PerWriter <= 0 {
		return most
	}
	base := float64(e.Step)
	each := float64(e.PerWriter)
	scale := float64(pass) / (base + each*running)
	if scale*(base+each*leastWriters) > float64(gap) {
		// No pause is useful any more, so what is left is to answer many.
		return most
	}
	writers := (gapShare*float64(gap)/scale - base) / each
	return min(max(int(writers), leastWriters), most)
}

// groupLoad is the mean of an engine service's reports.
type groupLoad struct {
	pass    time.Duration
	running float64
	// pace is that of the fastest replica; 0 is unknown.
	pace float64
}

// load sums up the fresh reports of a service's replicas; called with the
// table's lock held.
func (t *Table) load(list []*target, now time.Time) groupLoad {
	var out groupLoad
	n := 0
	for _, x := range list {
		if x.load.Taken.IsZero() || now.Sub(x.load.Taken) > reportAge {
			continue
		}
		n++
		out.pass = max(out.pass, x.load.Pass)
		out.running += float64(x.load.Running)
		if p := x.load.Pace; p > 0 && (out.pace == 0 || p < out.pace) {
			out.pace = p
		}
	}
	if n > 0 {
		out.running /= float64(n)
	}
	return out
}

// slower is how many times slower than the fastest replica of its service one
// is, by its own report; at least 1. In a lock-step group all wait for the
// slowest, whose own part grows with the requests it has: those go elsewhere.
func (t *target) slower(g groupLoad, now time.Time) float64 {
	if g.pace <= 0 || t.load.Pace <= g.pace || now.Sub(t.load.Taken) > reportAge {
		return 1
	}
	return t.load.Pace / g.pace
}
