package fleet

import (
	"math"
	"time"

	graniteknot "graniteknot.org/go"
)

// askedSpan is how far back requests count for how many come: long enough for the
// few at one process not to be chance.
const askedSpan = 3 * time.Second

// factorSpan is how far back it counts by how much longer than stated work took.
const factorSpan = 2 * time.Second

// intake bounds how many prompt tokens a process sends to a service's engines, so
// that the passes that read them do not become too long. The zero value is empty.
type intake struct {
	// asked is how often requests come.
	asked rate
	// first is how long after a request is sent its first event comes.
	first span
	// factor is by how much longer than stated work took over the last seconds,
	// noted at.
	factor float64
	noted  time.Time
	// left is how many tokens may still be sent; a prompt may take it below zero.
	left float64
	at   time.Time
}

// intake returns a service's; called with the lock held.
func (t *Table) intake(s graniteknot.Service) *intake {
	if t.intakes == nil {
		t.intakes = map[graniteknot.Service]*intake{}
	}
	if t.intakes[s] == nil {
		t.intakes[s] = &intake{asked: rate{span: askedSpan}}
	}
	return t.intakes[s]
}

// open tells whether a prompt may be sent where so many tokens a second may, and no
// more at once than fit into one pass.
func (i *intake) open(perSecond float64, pass time.Duration, now time.Time) bool {
	if i.at.IsZero() {
		i.at, i.left = now, perSecond*pass.Seconds()
	}
	i.left = min(i.left+perSecond*now.Sub(i.at).Seconds(), perSecond*pass.Seconds())
	i.at = now
	return i.left > 0
}

// sent notes a prompt that was sent.
func (i *intake) sent(prompt graniteknot.Tokens) { i.left -= float64(prompt) }

// slowly takes in by how much longer than stated work takes now, and returns the
// mean of the last seconds: a shift of what is asked for is over before most of
// those who wait are served.
func (i *intake) slowly(factor float64, now time.Time) float64 {
	if i.factor == 0 {
		i.factor = factor
	} else {
		weight := 1 - math.Exp(-now.Sub(i.noted).Seconds()/factorSpan.Seconds())
		i.factor += weight * (factor - i.factor)
	}
	i.noted = now
	return i.factor
}
