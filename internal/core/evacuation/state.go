package evacuation

import (
	"encoding/binary"
	"errors"
	"slices"

	graniteknot "graniteknot.org/go"
)

// State is the set of evacuated zones as of a position of the settings topic. The zero value is
// no state.
type State struct {
	// Through is the position of the first record that the state does not include.
	Through graniteknot.Position
	// Zones are sorted.
	Zones []graniteknot.AvailabilityZone
}

// Known reports whether the state is one.
func (s *State) Known() bool { return s.Through > 0 }

// Contains reports whether a zone is evacuated.
func (s *State) Contains(z graniteknot.AvailabilityZone) bool {
	_, found := slices.BinarySearch(s.Zones, z)
	return found
}

const (
	// maxZones and maxZoneName bound a decoded state.
	maxZones    = 256
	maxZoneName = 255
	// MaxEncodedBytes bounds an encoded state, so that it fits into a datagram with an answer
	// about the settings.
	MaxEncodedBytes = 800
)

// ErrMalformed is returned for a state that can't be decoded.
var ErrMalformed = errors.New("malformed evacuation state")

// Append appends the encoded state: the position, the number of zones and each zone's name behind
// its length, all numbers as varints. It returns false, and b as it was, for a state longer than
// MaxEncodedBytes.
func (s *State) Append(b []byte) ([]byte, bool) {
	out := binary.AppendUvarint(b, uint64(s.Through))
	out = binary.AppendUvarint(out, uint64(len(s.Zones)))
	for _, z := range s.Zones {
		out = binary.AppendUvarint(out, uint64(len(z)))
		out = append(out, z...)
	}
	if len(out)-len(b) > MaxEncodedBytes {
		return b, false
	}
	return out, true
}

// Decode decodes a state and returns the bytes that follow it.
func Decode(b []byte) (State, []byte, error) {
	through, b, ok := uvarint(b, 1<<62)
	count, b, ok2 := uvarint(b, maxZones)
	if !ok || !ok2 {
		return State{}, nil, ErrMalformed
	}
	s := State{Through: graniteknot.Position(through)}
	for range count {
		size, rest, ok := uvarint(b, maxZoneName)
		if !ok || size > uint64(len(rest)) {
			return State{}, nil, ErrMalformed
		}
		s.Zones = append(s.Zones, graniteknot.AvailabilityZone(rest[:size]))
		b = rest[size:]
	}
	if !slices.IsSorted(s.Zones) {
		return State{}, nil, ErrMalformed
	}
	return s, b, nil
}

// uvarint reads a number of at most limit; false if there is none.
func uvarint(b []byte, limit uint64) (uint64, []byte, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 || v > limit {
		return 0, nil, false
	}
	return v, b[n:], true
}
