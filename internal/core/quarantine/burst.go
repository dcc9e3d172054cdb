package quarantine

import (
	"slices"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// burstWindow is the time within which at most maxBurstCrashes crashes are attributed to
	// requests. A power failure ends hundreds of replicas, each with a dozen requests.
	burstWindow     = time.Second
	maxBurstCrashes = 3
)

// crash is the crash of one replica instance.
type crash struct {
	replica catalog.Mark
	at      time.Time
}

// isIsolatedCrash reports whether few replicas crashed within burstWindow.
func (t *Table) isIsolatedCrash(replica catalog.Mark, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recentCrashes = slices.DeleteFunc(t.recentCrashes, func(c crash) bool { return now.Sub(c.at) > burstWindow })
	if slices.ContainsFunc(t.recentCrashes, func(c crash) bool { return c.replica == replica }) {
		return true
	}
	if len(t.recentCrashes) >= maxBurstCrashes {
		return false
	}
	t.recentCrashes = append(t.recentCrashes, crash{replica, now})
	return true
}
