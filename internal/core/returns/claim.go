package returns

import "time"

const (
	// window is how long after the told time a return counts as one that came as told.
	window = time.Second
	// maxAge is how long after the refusal a claim ends: the longest told time, and the window.
	maxAge = 10 * time.Second
	// travelTolerance is how much earlier than told a return counts that another gateway promised.
	// Its refusal is dated by the arrival of the message, which may take longer than the caller.
	travelTolerance = 50 * time.Millisecond
	// copyTolerance is by how much the dates of copies of one claim may differ, by the delay of
	// messages. Copies agree in the told delay to the millisecond.
	copyTolerance = time.Second
)

// Claim is one promised return.
type Claim struct {
	Identity Identity
	Subject
	// RefusedAt is when the caller was refused, and Delay, in whole milliseconds, after what time
	// it was told to return.
	RefusedAt time.Time
	Delay     time.Duration
	// Room is set if the service is expected to have room for the caller then. Others are told a
	// time at which least is promised.
	Room bool
	// Redeemed is set once the caller has returned as told.
	Redeemed bool
}

// toldTime returns when the caller was told to return.
func (c *Claim) toldTime() time.Time { return c.RefusedAt.Add(c.Delay) }

// ended reports whether the claim has no further effect.
func (c *Claim) ended(now time.Time) bool { return now.Sub(c.RefusedAt) > maxAge }

// copies reports whether two claims record the same refusal.
func (c *Claim) copies(x *Claim) bool {
	return c.Subject == x.Subject && c.Delay == x.Delay && c.RefusedAt.Sub(x.RefusedAt).Abs() < copyTolerance
}
