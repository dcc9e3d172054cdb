package quarantine

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Kind says what went wrong.
type Kind string

// KindMalformed is a record or a message that can't be read.
const KindMalformed Kind = "malformed"

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is this package's error type.
type Error = graniteknot.Failure[Kind]

// record is the value of an entry's record in the store. Only requests that are kept from
// replicas have one; a record without a value releases its request.
type record struct {
	CrashedReplicas []catalog.Mark `json:"lives"`
}

// EncodeRecord returns the record of a request that is kept from replicas, or was released.
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

// DecodeRecord reads a record.
func DecodeRecord(r graniteknot.KeyedRecord) (Entry, error) {
	var e Entry
	key, err := hex.DecodeString(r.Key)
	if err != nil || len(key) != keySize {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: fmt.Errorf("key %.40q", r.Key)}
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
	if !e.Quarantined() || len(e.CrashedReplicas) > mostLives {
		return e, &Error{Op: "read record", Kind: KindMalformed, Err: fmt.Errorf("%d lives", len(e.CrashedReplicas))}
	}
	return e, nil
}

// Encode writes entries for other processes, Decode reads them.
func Encode(entries []Entry) ([]byte, error) { return cbor.Marshal(entries) }

// Decode is the inverse of Encode.
func Decode(b []byte) ([]Entry, error) {
	var out []Entry
	if err := cbor.Unmarshal(b, &out); err != nil {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: err}
	}
	for i := range out {
		if out[i].AgeMillis < 0 || len(out[i].CrashedReplicas) > mostLives {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: fmt.Errorf("entry %d", i)}
		}
	}
	return out, nil
}
