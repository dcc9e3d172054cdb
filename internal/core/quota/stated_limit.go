package quota

// StatedLimit is the limit that a replica states in an answer.
type StatedLimit struct {
	// Present reports whether the answer states a limit; Rate is that limit, 0 for a replica
	// that takes nothing.
	Present bool
	Rate    Rate
	// Invalid reports a malformed limit. It neither sets a limit nor ends one.
	Invalid bool
}
