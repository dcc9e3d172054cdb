package graniteknot

import (
	"context"
	"errors"
	"time"
)

// Topic names a sequence of keyed records in the platform's store, of which
// the newest of each key is kept for good.
type Topic string

// The topics that the product uses.
const (
	// TopicSettings holds the operators' configuration.
	TopicSettings Topic = "settings"
	// TopicReplicas holds a record of each registered replica.
	TopicReplicas Topic = "replicas"
	// TopicMembers holds a record of each process of the system.
	TopicMembers Topic = "graniteknot-members"
	// TopicQuarantine holds a record of each request that is kept from replicas.
	TopicQuarantine Topic = "graniteknot-quarantine"
	// TopicKeepers holds a record of each group's map keeper.
	TopicKeepers Topic = "graniteknot-keepers"
)

// KeyedRecord is one record of a topic.
type KeyedRecord struct {
	Key string
	// Value is empty when the record says that the key is gone.
	Value []byte
	// At is where the record stands; it is not set for appends.
	At Position
}

// KeyedPage is the answer to one read of a topic.
type KeyedPage struct {
	// Records are in order of their positions.
	Records []KeyedRecord
	// End is the position that the next append will get.
	End Position
	// Through is where to read on: behind the last record that was read, whether it could
	// be used or not. It is not set for the newest of each key.
	Through Position
}

// KeyedStore is the platform's store of keyed records.
type KeyedStore interface {
	// Newest returns the newest record of each key that is not gone, all of one era.
	// Reading on from End misses nothing.
	Newest(ctx context.Context, t Topic) (KeyedPage, error)
	// Read returns the records from a position on; it waits at most the given
	// time for the first one. The error wraps ErrTrimmed when they are gone, and ErrEra
	// when the position's era has ended.
	Read(ctx context.Context, t Topic, from Position, wait time.Duration) (KeyedPage, error)
	// Append adds a record. Unless the error wraps ErrNotDone, the record may
	// have been added, or may still be.
	Append(ctx context.Context, t Topic, r KeyedRecord) (Position, error)
	// AppendAt adds a record only while the topic ends at the position; else
	// the error wraps ErrMoved.
	AppendAt(ctx context.Context, t Topic, end Position, r KeyedRecord) (Position, error)
}

// The errors of a KeyedStore that callers act on.
var (
	// ErrTrimmed marks a read of records that are not kept any more.
	ErrTrimmed = errors.New("records are not kept any more")
	// ErrNotDone marks a call of which nothing was done.
	ErrNotDone = errors.New("nothing was done")
	// ErrEra marks a read from a position whose era has ended: the store came back from
	// a copy, and other records stand there now.
	ErrEra = errors.New("the store has begun another era")
	// ErrMoved marks an append at a position that is not the end any more.
	ErrMoved = errors.New("the topic ends elsewhere")
)
