package quota

import (
	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

var subjectWords = [...]string{"limit", "rest", "leaving"}

// String returns the word used in logs.
func (s Subject) String() string { return subjectWords[s] }

// BoxOf returns what datagrams call a box.
func BoxOf(name graniteknot.BoxName) Box { return Box(xxhash.Sum64String(string(name))) }
