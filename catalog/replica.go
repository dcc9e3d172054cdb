package catalog

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// ReplicaID identifies a replica. A replica that restarts may keep it; see Life.
type ReplicaID string

// Replica is one registered life of a replica.
type Replica struct {
	ID ReplicaID
	// Born is the start of this life.
	Born    graniteknot.Born
	Service graniteknot.Service
	Address graniteknot.Address
	Zone    graniteknot.AvailabilityZone
	// Version is that of its software.
	Version string
	// Slots is how many requests it processes at once.
	Slots int
	// Draining replicas get no new requests.
	Draining bool
	// Warmup is for how long it is cold, from when the record first stated it; 0 if it is warm. WarmupRate is its service's.
	Warmup     time.Duration
	WarmupRate float64
	// Group is the lock-step group that the replica belongs to, empty for none, and Rank its rank
	// there.
	Group string
	Rank  graniteknot.Rank
	// GroupSize is the number of ranks of the group.
	GroupSize int
	// Beat counts the record's heartbeats in this life; 0 if it does not state them.
	Beat int64
	// Written is the position of the record in the store.
	Written graniteknot.Position
}

// Life returns the life that the record describes.
func (r *Replica) Life() Life { return Life{ID: r.ID, Born: r.Born} }
