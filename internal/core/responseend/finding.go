package responseend

// Finding is what the end of a response shows.
type Finding uint8

// Findings; the zero value proves nothing.
const (
	// FindingReplicaEnded: the replica closed the connection and may have ended, so it proves nothing.
	FindingReplicaEnded Finding = iota
	// FindingTimeOver: the replica may have stopped for want of time, so it proves nothing.
	FindingTimeOver
	// FindingReplicaLeft: the replica, which was about to end as planned, closed the connection and no longer listens. It may
	// have ended the response before, or have ended itself.
	FindingReplicaLeft
	// FindingUnconfirmed: the response is whole as far as its replica can show. Another replica can confirm that nothing
	// follows.
	FindingUnconfirmed
	// FindingWhole: the response is whole.
	FindingWhole
)

// Proved reports whether the response may be forwarded as a whole one where it cannot be resumed.
func (f Finding) Proved() bool { return f >= FindingReplicaLeft }
