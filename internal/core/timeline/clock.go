package timeline

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// counterBits is the part of a Stamp that orders events within one
// millisecond.
const counterBits = 16

// Stamp is a reading of a hybrid logical clock: milliseconds since the epoch
// shifted left by 16 bits, plus a counter.
type Stamp uint64

// Time returns the wall-clock part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Clock is a hybrid logical clock. The zero value works and reads the wall
// clock. A stamp taken after Observe is larger than the one observed, so that
// a cause comes before its effect also where wall clocks differ.
type Clock struct {
	// Wall is time.Now when nil.
	Wall graniteknot.Clock

	mu sync.Mutex
	// last never decreases.
	last Stamp
}

// Now returns a stamp that is larger than any before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.wall())
	return c.last
}

// Observe takes in a stamp that came with a message.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

func (c *Clock) wall() Stamp {
	now := time.Now
	if c.Wall != nil {
		now = c.Wall
	}
	return Stamp(now().UnixMilli()) << counterBits
}
