package load

// StreamCounts counts the attempts at streams of one kind of caller. Those that got no stream are in Sent alone.
type StreamCounts struct {
	// Sent counts all attempts, Whole those whose stream came whole and is right.
	Sent, Whole int64
	// Broken counts streams that ended without their end marker, with an error event, or with a connection that broke,
	// Wrong those of which what arrived is not the beginning of the answer, or not all of it though the end marker arrived.
	Broken, Wrong int64
}
