package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

// Life names one life of a replica: a replica that starts again may have the id that it
// had, and then holds and knows nothing of before.
type Life struct {
	ID   ReplicaID
	Born graniteknot.Born
}

// String returns the life as it stands in logs.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.ID)
	}
	return string(l.ID) + "/" + strconv.FormatInt(int64(l.Born), 10)
}

// Mark is a short sum of a life, by which processes tell each other which one a target has
// now; 0 is unknown. Two lives at one address have the same in 1 of 4 billion cases; then
// a request to the one that has ended is refused, as without marks.
type Mark uint32

// Mark returns the life's; 0 where no id is known.
func (l Life) Mark() Mark {
	if l.ID == "" {
		return 0
	}
	return Mark(max(1, uint32(xxhash.Sum64String(l.String()))))
}
