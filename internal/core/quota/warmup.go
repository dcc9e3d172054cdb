package quota

import (
	"math"
	"time"
)

// StatedWarmup is what an answer states of how long its replica is cold.
type StatedWarmup struct {
	// Present reports whether the answer states it; Left is 0 for a warm replica.
	Present bool
	Left    time.Duration
}

// WarmupNotice returns the notice of such a statement.
func WarmupNotice(key Key, left time.Duration) Notice {
	ms := math.Round(float64(left) / float64(time.Millisecond))
	return Notice{Key: key, Subject: SubjectWarmup, Holds: left > 0, Rate: Rate(ms / 1000)}
}

// Warmup returns how long the replica is cold, from the answer on, for SubjectWarmup.
func (t *Notice) Warmup() time.Duration {
	if !t.Holds {
		return 0
	}
	return time.Duration(math.Round(float64(t.Rate)*1000)) * time.Millisecond
}
