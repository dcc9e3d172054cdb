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
	writers := (gapShare*float64(gap)/scale - base) / each
	return min(max(int(writers), leastWriters), most)
}

// groupLoad is the mean of an engine service's reports.
type groupLoad struct {
	pass    time.Duration
	running float64
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
	}
	if n > 0 {
		out.running /= float64(n)
	}
	return out
}
