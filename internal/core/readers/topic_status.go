package readers

import (
	"encoding/binary"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/evacuation"
)

// TopicStatus is a gateway's reply to a query for a topic of the store.
type TopicStatus struct {
	// State identifies the content of the topic: a version or a digest.
	State uint64
	// Age is the time since the start of the read that returned the state.
	Age time.Duration
	// StoreHealthy tells that the gateway has had no recent trouble with the store.
	StoreHealthy bool
	// Reader is the gateway that read the state; gateways of earlier builds leave it empty.
	Reader graniteknot.BoxName
	// Evacuations are the evacuated zones, in the status of the settings; unknown in that of
	// other topics, of gateways of earlier builds, and if there are too many zones for a datagram.
	Evacuations evacuation.State
}

const (
	// storeHealthyFlag encodes StoreHealthy; evacuationsFlag tells that Evacuations follow.
	storeHealthyFlag = 1
	evacuationsFlag  = 2
	// maxAge bounds Age, and maxReaderName the length of Reader.
	maxAge        = time.Hour
	maxReaderName = 255
)

// ErrMalformed is returned for a query or a status that can't be decoded.
var ErrMalformed = errors.New("malformed answer")

// Encode encodes a status: its state and its age in microseconds as varints, a byte of flags, the
// evacuations if they are known, and the reader's name. The age is rounded up.
func (s *TopicStatus) Encode() []byte {
	out := binary.AppendUvarint(nil, s.State)
	out = binary.AppendUvarint(out, uint64(s.Age/time.Microsecond)+1)
	flags := byte(0)
	if s.StoreHealthy {
		flags |= storeHealthyFlag
	}
	out = append(out, flags)
	if s.Evacuations.Known() {
		at := len(out) - 1
		if longer, fits := s.Evacuations.Append(out); fits {
			out = longer
			out[at] |= evacuationsFlag
		}
	}
	return append(out, s.Reader...)
}

// DecodeTopicStatus is the inverse of Encode. Gateways of earlier builds omit the reader, or the
// flags and the reader.
func DecodeTopicStatus(body []byte) (TopicStatus, error) {
	state, n := binary.Uvarint(body)
	if n <= 0 {
		return TopicStatus{}, ErrMalformed
	}
	micros, m := binary.Uvarint(body[n:])
	if m <= 0 || micros > uint64(maxAge/time.Microsecond) {
		return TopicStatus{}, ErrMalformed
	}
	s := TopicStatus{State: state, Age: time.Duration(micros) * time.Microsecond}
	rest := body[n+m:]
	if len(rest) == 0 {
		return s, nil
	}
	flags, rest := rest[0], rest[1:]
	if flags&evacuationsFlag != 0 {
		var err error
		if s.Evacuations, rest, err = evacuation.Decode(rest); err != nil {
			return TopicStatus{}, ErrMalformed
		}
	}
	if len(rest) > maxReaderName {
		return TopicStatus{}, ErrMalformed
	}
	s.StoreHealthy, s.Reader = flags&storeHealthyFlag != 0, graniteknot.BoxName(rest)
	return s, nil
}
