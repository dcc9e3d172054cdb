package watch

import (
	graniteknot "graniteknot.org/go"
)

// handleRestore handles the restore of the store from an older copy. Records that it lacks may be
// rewritten soon, as after an outage.
func (f *Follower) handleRestore(era graniteknot.Era) {
	f.Health.RecordRestore(f.Topic, f.position, era, f.Clock.Now())
	if f.OnRestore != nil {
		f.OnRestore(era)
	}
}
