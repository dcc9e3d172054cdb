package quota

import (
	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

var subjectNames = [...]string{"limit", "rest", "leaving", "warm-up"}

// String returns the name used in logs.
func (s Subject) String() string { return subjectNames[s] }

// HashBox returns the hash that stands for a box in datagrams.
func HashBox(name graniteknot.BoxName) BoxHash { return BoxHash(xxhash.Sum64String(string(name))) }
