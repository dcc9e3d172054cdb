package returns

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"graniteknot.org/go/catalog"
)

// ErrMalformed is returned for claims that can't be decoded.
var ErrMalformed = errors.New("malformed claims")

// maxUrgency bounds a decoded urgency.
const maxUrgency = 1 << 20

// Encode encodes claims in at most so many bytes; the last claims are left out if needed. Times
// travel as durations, since the clocks of machines differ. It returns nil for no claims.
//
// The encoding starts with the subjects: their number, and the service and urgency of each. Claims
// with promised room refer to a second entry of their subject. Gateways of an earlier build read both
// entries alike and send only first ones, so that their claims count as without room here. Each claim
// has the index of its subject, its identity, the told delay in milliseconds doubled, plus one if it is
// redeemed, and the age of the refusal in milliseconds. Hashes have a fixed length, other numbers are
// varints.
func Encode(claims []Claim, limit int, now time.Time) []byte {
	var subjects []listedSubject
	var body, head []byte
	for i := range claims[:min(len(claims), MaxPerMessage)] {
		c := &claims[i]
		next := withSubject(subjects, c)
		index := slices.Index(next, listedSubject{c.Subject, c.Room})
		one := c.append(body, index, now)
		if h := encodeSubjects(next); len(h)+len(one) <= limit {
			head, body, subjects = h, one, next
		}
	}
	if len(body) == 0 {
		return nil
	}
	return append(head, body...)
}

// listedSubject is a subject of a message: of the claims with room, or of those without.
type listedSubject struct {
	Subject

	room bool
}

// withSubject returns a message's subjects with those that a claim needs.
func withSubject(subjects []listedSubject, c *Claim) []listedSubject {
	for _, s := range []listedSubject{{c.Subject, false}, {c.Subject, c.Room}} {
		if !slices.Contains(subjects, s) {
			subjects = append(subjects, s)
		}
	}
	return subjects
}

func encodeSubjects(subjects []listedSubject) []byte {
	b := binary.AppendUvarint(nil, uint64(len(subjects)))
	for _, s := range subjects {
		b = binary.BigEndian.AppendUint32(b, uint32(s.Service))
		b = binary.AppendUvarint(b, uint64(max(0, s.Urgency)))
	}
	return b
}

func (c *Claim) append(b []byte, subject int, now time.Time) []byte {
	delay := uint64(c.Delay.Milliseconds()) << 1
	if c.Redeemed {
		delay |= 1
	}
	b = binary.AppendUvarint(b, uint64(subject))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Identity))
	b = binary.AppendUvarint(b, delay)
	return binary.AppendUvarint(b, uint64(max(0, now.Sub(c.RefusedAt).Milliseconds())))
}

// Decode decodes the claims of a message that arrived now.
func Decode(b []byte, now time.Time) ([]Claim, error) {
	r := reader{rest: b}
	subjects := make([]listedSubject, 0, 2)
	for range r.uvarint(2 * MaxPerMessage) {
		s := Subject{ServiceHash(r.uint32()), catalog.Urgency(r.uvarint(maxUrgency))}
		subjects = append(subjects, listedSubject{s, slices.Contains(subjects, listedSubject{s, false})})
	}
	var out []Claim
	for len(r.rest) > 0 && !r.failed {
		if len(out) == MaxPerMessage {
			return nil, ErrMalformed
		}
		index := r.uvarint(2 * MaxPerMessage)
		id := Identity(r.uint64())
		delay := r.uvarint(uint64(Horizon.Milliseconds())<<1 | 1)
		age := r.uvarint(uint64(maxAge.Milliseconds()))
		if index >= uint64(len(subjects)) {
			return nil, ErrMalformed
		}
		out = append(out, Claim{
			Identity: id, Subject: subjects[index].Subject, Room: subjects[index].room, RefusedAt: now.Add(-time.Duration(age) * time.Millisecond),
			Delay: time.Duration(delay>>1) * time.Millisecond, Redeemed: delay&1 != 0,
		})
	}
	if r.failed {
		return nil, ErrMalformed
	}
	return out, nil
}
