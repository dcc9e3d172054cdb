package catalog

import (
	"time"

	graniteknot "graniteknot.org/go"
)

// ReplicaID names a replica. A replica that starts again may have the same; see Life.
type ReplicaID string

// Replica is one registered life of a replica.
type Replica struct {
	ID ReplicaID
	// Born is when this life began.
	Born    graniteknot.Born
	Service graniteknot.Service
	Address graniteknot.Address
	Zone    graniteknot.AvailabilityZone
	// Slots is how many requests it works on at a time.
	Slots int
	// Draining replicas get no new work.
	Draining bool
	// Warmup is for how long it is cold, counted from when the record first
	// said so; 0 when it is warm. WarmupRate is its service's.
	Warmup     time.Duration
	WarmupRate float64
	// Group is the lock-step group that the replica is a rank of, empty for
	// none; Rank is its place there.
	Group string
	Rank  graniteknot.Rank
	// GroupSize is how many ranks the group has.
	GroupSize int
	// Beat counts the record's heartbeats in this life; 0 where it tells none.
	Beat int64
	// Written is where the record stands in the store.
	Written graniteknot.Position
}

// Life names the life that the record is of.
func (r *Replica) Life() Life { return Life{ID: r.ID, Born: r.Born} }
