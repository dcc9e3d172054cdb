package graniteknot

import (
	"context"
	"time"
)

// Stream names one sequence of records in the platform's log service.
type Stream string

// SettingsStream is the stream that operators publish changes to.
const SettingsStream Stream = "settings"

// Record is one entry of a log stream.
type Record struct {
	// Offset grows by one from record to record within a stream.
	Offset Offset
	// Data is never changed once appended.
	Data []byte
}

// Page is the answer to one read of a log stream.
type Page struct {
	// Records are contiguous and start at the offset asked for, unless that
	// was trimmed.
	Records []Record
	// First is the oldest offset still kept.
	First Offset
	// Next is the offset that the next append will get.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record. An error does not mean that nothing was added:
	// the answer may have been lost after the record took effect.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns at most limit records from an offset on. When records
	// before Page.First were asked for, the page starts at Page.First.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error)
}

// BoxState is what the platform's list says about a box.
type BoxState uint8

const (
	// BoxLive boxes may get new work.
	BoxLive BoxState = iota
	// BoxLeaving boxes finish what they have.
	BoxLeaving
)

// Box is one line of the platform's list.
type Box struct {
	Name  BoxName
	Zone  AvailabilityZone
	State BoxState
	// Address is where the system's process on that box listens.
	Address Address
}

// BoxList is the platform's list of boxes. It lags behind reality.
type BoxList interface {
	Boxes(ctx context.Context) ([]Box, error)
}

// WeightStore gives expert weights to ranks, limited in rate.
type WeightStore interface {
	// Load blocks until the bytes were delivered at the store's rate.
	Load(ctx context.Context, size Bytes) error
}

// Clock tells the time; tests give their own.
type Clock func() time.Time
