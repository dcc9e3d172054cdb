package gateway

import (
	"encoding/binary"
	"time"

	graniteknot "graniteknot.org/go"
)

// standing is what a gateway answers on a topic of the store.
type standing struct {
	// state is the topic's.
	state uint64
	// age is how long ago the read began that showed the state.
	age time.Duration
	// sound tells that the gateway has had no trouble with the store of late.
	sound bool
	// reader is the gateway that read it; empty from gateways of earlier builds.
	reader graniteknot.BoxName
}

const (
	// soundMark stands for a gateway that has had no trouble with the store of late.
	soundMark = 1
	// oldestAge bounds the age in an answer.
	oldestAge = time.Hour
)

// encode writes a standing: its state and its age in microseconds as varints, a byte of
// marks, and the reader's name. The age is rounded up.
func (s *standing) encode() []byte {
	out := binary.AppendUvarint(nil, s.state)
	out = binary.AppendUvarint(out, uint64(s.age/time.Microsecond)+1)
	marks := byte(0)
	if s.sound {
		marks |= soundMark
	}
	return append(append(out, marks), s.reader...)
}

// decodeStanding is the inverse of encode. Gateways of earlier builds end their answers
// before the marks or the reader.
func decodeStanding(body []byte) (standing, error) {
	state, n := binary.Uvarint(body)
	if n <= 0 {
		return standing{}, errMalformed
	}
	micros, m := binary.Uvarint(body[n:])
	if m <= 0 || micros > uint64(oldestAge/time.Microsecond) {
		return standing{}, errMalformed
	}
	s := standing{state: state, age: time.Duration(micros) * time.Microsecond}
	if rest := body[n+m:]; len(rest) > 0 {
		s.sound = rest[0]&soundMark != 0
		s.reader = graniteknot.BoxName(rest[1:])
	}
	return s, nil
}
