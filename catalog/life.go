package catalog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

// Life identifies one life of a replica. A replica that restarts may keep its id, but loses its
// state.
type Life struct {
	ID   ReplicaID
	Born graniteknot.Born
}

// String returns the life as logs show it.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.ID)
	}
	return string(l.ID) + "/" + strconv.FormatInt(int64(l.Born), 10)
}

// Mark is a short hash of a life, by which processes tell each other the current life of a target; 0
// is unknown. Two lives at one address collide in 1 of 4 billion cases; a request to the one that has
// ended is then rejected by the target, as without marks.
type Mark uint32

// Mark returns the mark of the life; 0 if the id is unknown.
func (l Life) Mark() Mark {
	if l.ID == "" {
		return 0
	}
	return Mark(max(1, uint32(xxhash.Sum64String(l.String()))))
}
