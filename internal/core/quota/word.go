package quota

// Word is what an answer says of the limit of the replica that gave it.
type Word struct {
	// Named tells that the answer names a limit; Rate is that limit, 0 for a replica that
	// takes nothing.
	Named bool
	Rate  Rate
	// Odd tells that it names something that is no limit, which binds nobody and ends
	// nothing.
	Odd bool
}
