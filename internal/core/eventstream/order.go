package eventstream

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Problem is why a replica's events cannot follow those that the caller has.
type Problem string

const (
	// ProblemNoEvent means that the bytes are no event.
	ProblemNoEvent Problem = "no-event"
	// ProblemNoID means that an event without an ID follows one that has one, so its place is unknown.
	ProblemNoID Problem = "no-id"
	// ProblemOrder means that the ID does not rise, and that the event is not the last one that the caller has.
	ProblemOrder Problem = "id-does-not-rise"
	// ProblemOtherRun means that the response begins anew, with other events than the caller has.
	ProblemOtherRun Problem = "other-run"
)

// Order decides which events of the responses to one request its caller gets. IDs that are numbers rise, over all
// responses and beyond the ID that the caller began with, whatever is between them; other IDs differ from the one
// before, and do not follow a number where a response begins. A response that repeats what this request's caller has
// may go on behind it only if that is the same to the byte. The zero value is that of a request whose caller has no
// events yet.
type Order struct {
	// last is the ID of the last event that the caller has; empty for none.
	last []byte
	// highest is the highest number among the IDs that the caller has, if numbered is set.
	highest  []byte
	numbered bool
	// delivered counts the events with data that the caller got, identified those of them that have an ID,
	// dropped the events that it had already.
	delivered, identified, dropped int
	// firstHash and lastHash are the hashes of the first and the last event with an ID that the caller got, run is
	// that of all of them in order.
	firstHash, lastHash, run uint64
	response                 responseOrder
}

// responseOrder is the state of the current response.
type responseOrder struct {
	// first and last are the IDs of its first and its last event, events is the number of those with an ID.
	first, last []byte
	events      int
	// repeating is set while the response repeats what the caller got from the first event on, repeated is the
	// hash of that.
	repeating bool
	repeated  uint64
}

// Resume sets the ID of the last event that the caller has; empty for none.
func (o *Order) Resume(id string) {
	if id != "" {
		o.setLast([]byte(id))
	}
}

// BeginResponse begins the next response.
func (o *Order) BeginResponse() {
	o.response = responseOrder{first: o.response.first[:0], last: o.response.last[:0]}
}

// LastID returns the ID of the last event that the caller has; empty if it has none with an ID.
func (o *Order) LastID() string { return string(o.last) }

// Resumable reports whether another response can go on behind what the caller has.
func (o *Order) Resumable() bool { return o.delivered == 0 || len(o.last) > 0 }

// Behind reports whether the current response has not reached what the caller has, so that its end is not that of
// the stream.
func (o *Order) Behind() bool { return o.response.repeating }

// Dropped returns the number of events that the caller had already.
func (o *Order) Dropped() int { return o.dropped }

// Response returns the number of events with an ID in the current response, and the first and the last ID.
func (o *Order) Response() (events int, first, last string) {
	return o.response.events, string(o.response.first), string(o.response.last)
}

// Accept passes complete events to deliver, those that follow each other together, and leaves out what the caller has.
// It stops at the first event that cannot follow, and returns why, and where deliver fails.
func (o *Order) Accept(complete []byte, deliver func([]byte) error) (Problem, error) {
	from, at := 0, 0
	for at < len(complete) {
		b := nextEvent(complete[at:])
		drop, problem := o.judge(b)
		if !drop && problem == "" {
			at += len(b)
			continue
		}
		if err := deliverSome(complete[from:at], deliver); err != nil || problem != "" {
			return problem, err
		}
		at += len(b)
		from = at
	}
	return "", deliverSome(complete[from:], deliver)
}

func deliverSome(b []byte, deliver func([]byte) error) error {
	if len(b) == 0 {
		return nil
	}
	return deliver(b)
}

// judge decides on one event: whether it is left out, or why it cannot follow.
func (o *Order) judge(b []byte) (drop bool, p Problem) {
	e, ok := parseEvent(b)
	if !ok {
		return false, ProblemNoEvent
	}
	if len(e.id) == 0 {
		return o.judgeUnidentified(e)
	}
	hash := xxhash.Sum64(b)
	if o.response.record(e.id); o.response.events == 1 && o.identified > 0 && hash == o.firstHash {
		o.response.repeating = true
	}
	switch {
	case o.response.repeating:
		return o.judgeRepeated(e.id, hash)
	case o.follows(e.id):
		o.record(e.id, hash)
		return false, ""
	case o.identified > 0 && hash == o.lastHash:
		o.dropped++
		return true, ""
	}
	return false, ProblemOrder
}

// judgeUnidentified decides on an event without an ID.
func (o *Order) judgeUnidentified(e event) (drop bool, p Problem) {
	switch {
	case !e.data:
		return o.response.repeating, ""
	case len(o.last) > 0:
		return false, ProblemNoID
	}
	o.delivered++
	return false, ""
}

// judgeRepeated decides on an event of a response that began with the first event that the caller got.
func (o *Order) judgeRepeated(id []byte, hash uint64) (drop bool, p Problem) {
	o.response.repeated = chain(o.response.repeated, hash)
	switch {
	case bytes.Equal(id, o.last):
		if o.response.repeated != o.run {
			return false, ProblemOtherRun
		}
		o.response.repeating = false
	case o.exceeds(id):
		return false, ProblemOtherRun
	}
	o.dropped++
	return true, ""
}

// follows reports whether an event with an ID can follow the last one that the caller has.
func (o *Order) follows(id []byte) bool {
	n, isNumber := number(id)
	switch {
	case isNumber && o.numbered:
		return isBelow(o.highest, n)
	case !isNumber && o.response.events == 1 && o.endsWithNumber():
		return false
	}
	return !bytes.Equal(id, o.last)
}

// endsWithNumber reports whether the ID of the last event that the caller has is a number.
func (o *Order) endsWithNumber() bool {
	_, ok := number(o.last)
	return ok
}

// exceeds reports whether an ID is a number above all that the caller has.
func (o *Order) exceeds(id []byte) bool {
	n, isNumber := number(id)
	return isNumber && o.numbered && isBelow(o.highest, n)
}

// record records an event with an ID that the caller gets.
func (o *Order) record(id []byte, hash uint64) {
	if o.identified == 0 {
		o.firstHash = hash
	}
	o.delivered++
	o.identified++
	o.lastHash, o.run = hash, chain(o.run, hash)
	o.setLast(id)
}

func (o *Order) setLast(id []byte) {
	o.last = append(o.last[:0], id...)
	if n, ok := number(id); ok {
		o.highest, o.numbered = append(o.highest[:0], n...), true
	}
}

// record records an event with an ID that was read.
func (r *responseOrder) record(id []byte) {
	if r.events++; r.events == 1 {
		r.first = append(r.first[:0], id...)
	}
	r.last = append(r.last[:0], id...)
}

// chain returns the hash of a sequence of events and one more.
func chain(sequence, event uint64) uint64 {
	const size = 8
	var b [2 * size]byte
	binary.LittleEndian.PutUint64(b[:size], sequence)
	binary.LittleEndian.PutUint64(b[size:], event)
	return xxhash.Sum64(b[:])
}
