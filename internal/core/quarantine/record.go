package quarantine

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Kind classifies errors.
type Kind string

// KindMalformed is a record or message that cannot be encoded or decoded.
const KindMalformed Kind = "malformed"

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is this package's error type.
type Error = graniteknot.Failure[Kind]

// record is the value of an entry's record in the store. Requests and parts have one once
// they are quarantined; a record without a value releases its request or part.
type record struct {
	CrashedReplicas []catalog.Mark `json:"lives"`
	Part            bool           `json:"part,omitempty"`
	Survived        []catalog.Mark `json:"survived,omitempty"`
	ServedBefore    bool           `json:"served_before,omitempty"`
	Blamed          bool           `json:"blamed,omitempty"`
}

// EncodeRecord returns the record of an entry that is or was quarantined, or released.
func EncodeRecord(e *Entry) (graniteknot.KeyedRecord, error) {
	out := graniteknot.KeyedRecord{Key: e.Key.String()}
	if e.Released {
		return out, nil
	}
	value, err := json.Marshal(record{CrashedReplicas: e.CrashedReplicas, Part: e.Part, Survived: e.Survived, ServedBefore: e.ServedBefore, Blamed: e.Blamed})
	if err != nil {
		return out, &Error{Op: "write record", Kind: KindMalformed, Err: err}
	}
	out.Value = value
	return out, nil
}

// DecodeRecord returns the entry of a record.
func DecodeRecord(r graniteknot.KeyedRecord) (Entry, error) {
	var e Entry
	var err error
	if e.Key, err = ParseKey(r.Key); err != nil {
		return e, err
	}
	if len(r.Value) == 0 {
		e.Released = true
		return e, nil
	}
	var v record
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: err}
	}
	e.CrashedReplicas, e.Part, e.Survived, e.ServedBefore, e.Blamed = v.CrashedReplicas, v.Part, v.Survived, v.ServedBefore, v.Blamed
	if !e.Quarantined() && len(e.Survived) == 0 || e.oversized() {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: fmt.Errorf("invalid number of crashed replicas: %d", len(e.CrashedReplicas))}
	}
	return e, nil
}

// oversized reports whether the entry holds more than an entry of its kind may.
func (e *Entry) oversized() bool {
	return len(e.CrashedReplicas) > e.maxCrashes() || len(e.Survived) > len(e.CrashedReplicas) || !e.Part && (len(e.Survived) > 0 || e.Blamed)
}

// Encode encodes entries for other processes.
func Encode(entries []Entry) ([]byte, error) { return cbor.Marshal(entries) }

// encodedSize returns an upper bound on the size of an encoded entry.
func (e *Entry) encodedSize() int {
	const fixed, mark = 48, 5
	return fixed + mark*(len(e.CrashedReplicas)+len(e.Survived))
}

// Split divides entries into groups, each of which Encode encodes in at most maxBytes bytes.
func Split(entries []Entry, maxBytes int) [][]Entry {
	var out [][]Entry
	start, size := 0, 0
	for i := range entries {
		n := entries[i].encodedSize()
		if i > start && size+n > maxBytes {
			out, start, size = append(out, entries[start:i]), i, 0
		}
		size += n
	}
	if start < len(entries) {
		out = append(out, entries[start:])
	}
	return out
}

// Decode decodes entries written by Encode.
func Decode(b []byte) ([]Entry, error) {
	var out []Entry
	if err := cbor.Unmarshal(b, &out); err != nil {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: err}
	}
	for i := range out {
		if out[i].AgeMillis < 0 || out[i].oversized() {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: fmt.Errorf("entry %d is out of range", i)}
		}
	}
	return out, nil
}
