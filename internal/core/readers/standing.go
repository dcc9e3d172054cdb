package readers

import (
	"encoding/binary"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
)

// TopicStatus is what a gateway answers on a topic of the store.
type TopicStatus struct {
	// State is the topic's.
	State uint64
	// Age is how long ago the read began that showed the state.
	Age time.Duration
	// StoreHealthy tells that the gateway has had no trouble with the store of late.
	StoreHealthy bool
	// Reader is the gateway that read it; empty from gateways of earlier builds.
	Reader graniteknot.BoxName
}

const (
	// soundMark stands for a gateway that has had no trouble with the store of late.
	soundMark = 1
	// oldest bounds the age in an answer, and longestName the reader's name.
	oldest      = time.Hour
	longestName = 255
)

// ErrMalformed is an answer that can't be read.
var ErrMalformed = errors.New("malformed answer")

// Encode writes a standing: its state and its age in microseconds as varints, a byte of
// marks, and the reader's name. The age is rounded up.
func (s *TopicStatus) Encode() []byte {
	out := binary.AppendUvarint(nil, s.State)
	out = binary.AppendUvarint(out, uint64(s.Age/time.Microsecond)+1)
	marks := byte(0)
	if s.StoreHealthy {
		marks |= soundMark
	}
	return append(append(out, marks), s.Reader...)
}

// DecodeTopicStatus is the inverse of Encode. Gateways of earlier builds end their answers
// before the marks or the reader.
func DecodeTopicStatus(body []byte) (TopicStatus, error) {
	state, n := binary.Uvarint(body)
	if n <= 0 {
		return TopicStatus{}, ErrMalformed
	}
	micros, m := binary.Uvarint(body[n:])
	if m <= 0 || micros > uint64(oldest/time.Microsecond) {
		return TopicStatus{}, ErrMalformed
	}
	s := TopicStatus{State: state, Age: time.Duration(micros) * time.Microsecond}
	rest := body[n+m:]
	if len(rest) == 0 {
		return s, nil
	}
	if len(rest) > 1+longestName {
		return TopicStatus{}, ErrMalformed
	}
	s.StoreHealthy, s.Reader = rest[0]&soundMark != 0, graniteknot.BoxName(rest[1:])
	return s, nil
}
