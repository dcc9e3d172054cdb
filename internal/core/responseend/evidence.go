package responseend

import (
	"time"

	"graniteknot.org/go/internal/core/conns"
)

// maxCloseAge is how long ago a replica may have closed a connection for a new one to show that the same process lives
// on. A gateway that stood still, or is overloaded, reads a close late, and another process may listen at the address then.
const maxCloseAge = 200 * time.Millisecond

// Evidence is what the end of a response is judged by. Judge calls the functions in this order, each only if what is
// known before it leaves the judgement open.
type Evidence struct {
	Framing Framing
	// Confirms is set if the response confirms the end of an earlier one, to which it adds nothing.
	Confirms bool
	// TimeOver reports whether the replica may have stopped for want of time.
	TimeOver func() bool
	// CloseAge returns how long ago the replica closed the connection; false if that is not known.
	CloseAge func() (time.Duration, bool)
	// Leaving reports whether the replica is known to end as planned.
	Leaving func() bool
	// Listens opens a new connection to the replica.
	Listens func() conns.ListenState
}

// Judge returns what the evidence shows. A replica that stops at its deadline may end its response in order; one that
// ends closes a response without a length as a whole one is closed.
func (e *Evidence) Judge() Finding {
	switch {
	case e.Framing == FramingLength:
		return FindingWhole
	case e.TimeOver():
		return FindingTimeOver
	case e.Framing != FramingClose:
		return FindingWhole
	}
	finding := e.judgeClose()
	if finding.Proved() && e.Confirms {
		return FindingWhole
	}
	return finding
}

// judgeClose returns what a closed connection shows. A replica that leaves as planned may stop listening before it ends its
// responses.
func (e *Evidence) judgeClose() Finding {
	if age, known := e.CloseAge(); known && age > maxCloseAge {
		return FindingReplicaEnded
	}
	leaving := e.Leaving()
	switch {
	case e.Listens() != conns.ListenStateRefused:
		return FindingUnconfirmed
	case leaving:
		return FindingReplicaLeft
	}
	return FindingReplicaEnded
}
