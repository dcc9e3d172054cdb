package readers

import (
	"encoding/binary"
	"math"
	"time"

	"graniteknot.org/go/internal/core/watch"
)

// EncodeWitness encodes a gateway's reply on its access to the store: its three durations in
// microseconds as varints. ReadAge is rounded up and the others down, but for a TroubleAge over 0.
func EncodeWitness(w *watch.Witness) []byte {
	trouble := w.TroubleAge / time.Microsecond
	if w.TroubleAge > 0 {
		trouble = max(1, trouble)
	}
	out := binary.AppendUvarint(nil, uint64(trouble))
	out = binary.AppendUvarint(out, uint64(w.ReadAge/time.Microsecond)+1)
	return binary.AppendUvarint(out, uint64(w.SteadyFor/time.Microsecond))
}

// DecodeWitness is the inverse of EncodeWitness.
func DecodeWitness(body []byte) (watch.Witness, error) {
	var micros [3]uint64
	for i := range micros {
		value, n := binary.Uvarint(body)
		if n <= 0 || value > uint64(math.MaxInt64/time.Microsecond) {
			return watch.Witness{}, ErrMalformed
		}
		micros[i], body = value, body[n:]
	}
	if len(body) > 0 {
		return watch.Witness{}, ErrMalformed
	}
	return watch.Witness{
		TroubleAge: time.Duration(micros[0]) * time.Microsecond,
		ReadAge:    time.Duration(micros[1]) * time.Microsecond,
		SteadyFor:  time.Duration(micros[2]) * time.Microsecond,
	}, nil
}
