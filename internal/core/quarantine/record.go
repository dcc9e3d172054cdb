package quarantine

import (
	"encoding/hex"
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

// record is the value of an entry's record in the store. Only quarantined requests have
// one; a record without a value releases its request.
type record struct {
	CrashedReplicas []catalog.Mark `json:"lives"`
}

// EncodeRecord returns the record of a quarantined or released request.
func EncodeRecord(e *Entry) (graniteknot.KeyedRecord, error) {
	out := graniteknot.KeyedRecord{Key: e.Key.String()}
	if e.Released {
		return out, nil
	}
	value, err := json.Marshal(record{CrashedReplicas: e.CrashedReplicas})
	if err != nil {
		return out, &Error{Op: "write record", Kind: KindMalformed, Err: err}
	}
	out.Value = value
	return out, nil
}

// DecodeRecord returns the entry of a record.
func DecodeRecord(r graniteknot.KeyedRecord) (Entry, error) {
	var e Entry
	key, err := hex.DecodeString(r.Key)
	if err != nil || len(key) != keyBytes {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: fmt.Errorf("invalid key %.40q", r.Key)}
	}
	copy(e.Key[:], key)
	if len(r.Value) == 0 {
		e.Released = true
		return e, nil
	}
	var v record
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: err}
	}
	e.CrashedReplicas = v.CrashedReplicas
	if !e.Quarantined() || len(e.CrashedReplicas) > maxCrashedReplicas {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: fmt.Errorf("invalid number of crashed replicas: %d", len(e.CrashedReplicas))}
	}
	return e, nil
}

// Encode encodes entries for other processes.
func Encode(entries []Entry) ([]byte, error) { return cbor.Marshal(entries) }

// Decode decodes entries written by Encode.
func Decode(b []byte) ([]Entry, error) {
	var out []Entry
	if err := cbor.Unmarshal(b, &out); err != nil {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: err}
	}
	for i := range out {
		if out[i].AgeMillis < 0 || len(out[i].CrashedReplicas) > maxCrashedReplicas {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: fmt.Errorf("entry %d is out of range", i)}
		}
	}
	return out, nil
}
