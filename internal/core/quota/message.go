package quota

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Message is one datagram about limits between processes.
type Message struct {
	_      struct{} `cbor:",toarray"`
	Told   []Notice
	Asks   []PermitRequest
	Grants []Grant
}

// Key identifies a replica's life in a datagram.
type Key struct {
	_    struct{} `cbor:",toarray"`
	ID   catalog.ReplicaID
	Born graniteknot.Born
}

// KeyOf returns the key of a life.
func KeyOf(l catalog.Life) Key { return Key{ID: l.ID, Born: l.Born} }

// Life returns the life that the key identifies.
func (k Key) Life() catalog.Life { return catalog.Life{ID: k.ID, Born: k.Born} }

// Subject is the kind of a notice.
type Subject uint8

// The subjects of notices.
const (
	// SubjectLimit is the limit that the replica states.
	SubjectLimit Subject = iota
	// SubjectBackoff is that the replica rejected a request and asked the process to back off,
	// or that it answered one since.
	SubjectBackoff
	// SubjectLeaving is that the replica will shut down as planned.
	SubjectLeaving
	// SubjectWarmup is that the replica is cold, or warm.
	SubjectWarmup
)

// BoxHash is a hash of a box's name.
type BoxHash uint32

// Notice passes on what a process read in the answers of a replica's life.
type Notice struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Subject Subject
	// Holds reports whether the subject applies now or no longer does.
	Holds bool
	// Rate is the limit, for SubjectLimit. For SubjectWarmup it is the time for which the replica is
	// cold, in seconds: a field of its own would make the message unreadable for earlier versions.
	Rate Rate
	// Age is the time since the last answer that said so, in milliseconds.
	Age int64
	// By is the box of the process that was asked to back off.
	By BoxHash
}

// PermitRequest asks a limit's owner for permits.
type PermitRequest struct {
	_ struct{} `cbor:",toarray"`
	// Key is the life, Told what the requesting process knows of it.
	Key  Key
	Told []Notice
	// Number identifies a request among those of its process.
	Number uint64
	// Want is how many permits the process can use soon.
	Want int
}

// Grant answers a PermitRequest. Times are in milliseconds.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Number uint64
	// Count permits are granted. The first becomes valid From after the grant arrives, each
	// other one Every after the one before.
	Count       int
	From, Every int64
	// Again is the time until the next request where fewer were granted than wanted.
	Again int64
	// Askers is how many processes asked recently.
	Askers int
	// Told is what the owner knows of the life.
	Told []Notice
}

// Encode encodes a message as CBOR.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "write message", Kind: KindMalformed, Err: err}
	}
	return b, nil
}

// Decode decodes a message. It rejects the whole message if any value is out of range.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: err}
	}
	if !m.valid() {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: errOutOfRange}
	}
	return m, nil
}

func (m *Message) valid() bool {
	for i := range m.Asks {
		if a := &m.Asks[i]; a.Key.ID == "" || a.Want < 0 || !validNotices(a.Told) {
			return false
		}
	}
	for i := range m.Grants {
		if !m.Grants[i].valid() {
			return false
		}
	}
	return validNotices(m.Told)
}

func validNotices(list []Notice) bool {
	for i := range list {
		if !list[i].valid() {
			return false
		}
	}
	return true
}

const (
	// maxRate, maxAgeMs and maxWaitMs bound the values of a message: rates in requests a
	// second, times in milliseconds.
	maxRate   Rate = 1e6
	maxAgeMs       = int64(24 * time.Hour / time.Millisecond)
	maxWaitMs      = int64(time.Minute / time.Millisecond)
)

func (t *Notice) valid() bool {
	return t.Key.ID != "" && t.Subject <= SubjectWarmup && t.Rate >= 0 && t.Rate <= maxRate && t.Age >= 0 && t.Age <= maxAgeMs
}

func (g *Grant) valid() bool {
	delaysValid := min(g.From, g.Every, g.Again) >= 0 && max(g.From, g.Every, g.Again) <= maxWaitMs
	return delaysValid && g.Key.ID != "" && validNotices(g.Told) && g.Count >= 0 && g.Count <= maxHeld && g.Askers >= 0
}
