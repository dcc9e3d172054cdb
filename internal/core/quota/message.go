package quota

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Message is what processes tell each other of limits in one datagram.
type Message struct {
	_      struct{} `cbor:",toarray"`
	Told   []Told
	Asks   []Ask
	Grants []Grant
}

// Key is a life in a datagram.
type Key struct {
	_    struct{} `cbor:",toarray"`
	ID   catalog.ReplicaID
	Born graniteknot.Born
}

// KeyOf returns a life as it stands in datagrams.
func KeyOf(l catalog.Life) Key { return Key{ID: l.ID, Born: l.Born} }

// Life returns the life.
func (k Key) Life() catalog.Life { return catalog.Life{ID: k.ID, Born: k.Born} }

// Subject is what is told of a life.
type Subject uint8

// The subjects.
const (
	// SubjectLimit is the limit that it names.
	SubjectLimit Subject = iota
	// SubjectRest is that it turned a request away and asked the process for rest, or that it
	// answered one since.
	SubjectRest
	// SubjectLeaving is that it will end as planned.
	SubjectLeaving
)

// Box is a short sum of a box's name.
type Box uint32

// Told is what a life's answers said of it to the process that read them.
type Told struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Subject Subject
	// Holds tells that it is so, or no more.
	Holds bool
	// Rate is the limit.
	Rate Rate
	// Age is how long ago the last answer said so, in milliseconds.
	Age int64
	// By is the process that was turned away.
	By Box
}

// Ask asks a limit's home for permits.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Key is the life, Told what the asking process knows of it.
	Key  Key
	Told []Told
	// Number tells the asks of a process apart.
	Number uint64
	// Want is how many permits it can use soon.
	Want int
}

// Grant answers an ask. Times are in milliseconds.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Key    Key
	Number uint64
	// Count permits are granted: the first is valid From after the answer, the others Every
	// after the one before.
	Count       int
	From, Every int64
	// Again is when to ask again where fewer were granted than were wanted.
	Again int64
	// Askers is how many processes ask.
	Askers int
	// Told is what the home knows of the life.
	Told []Told
}

// Encode writes a message.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "write message", Kind: KindMalformed, Err: err}
	}
	return b, nil
}

// Decode reads a message. One that holds a number which no process sends is refused whole.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: err}
	}
	if !m.sound() {
		return nil, &Error{Op: "read message", Kind: KindMalformed, Err: errNumber}
	}
	return m, nil
}

func (m *Message) sound() bool {
	for i := range m.Asks {
		if a := &m.Asks[i]; a.Key.ID == "" || a.Want < 0 || !sound(a.Told) {
			return false
		}
	}
	for i := range m.Grants {
		if !m.Grants[i].sound() {
			return false
		}
	}
	return sound(m.Told)
}

func sound(list []Told) bool {
	for i := range list {
		if !list[i].sound() {
			return false
		}
	}
	return true
}

const (
	// mostRate, mostAge and mostWait bound the numbers of a message, rates in requests a
	// second and times in milliseconds.
	mostRate Rate = 1e6
	mostAge       = int64(24 * time.Hour / time.Millisecond)
	mostWait      = int64(time.Minute / time.Millisecond)
)

func (t *Told) sound() bool {
	return t.Key.ID != "" && t.Subject <= SubjectLeaving && t.Rate >= 0 && t.Rate <= mostRate && t.Age >= 0 && t.Age <= mostAge
}

func (g *Grant) sound() bool {
	waits := min(g.From, g.Every, g.Again) >= 0 && max(g.From, g.Every, g.Again) <= mostWait
	return waits && g.Key.ID != "" && sound(g.Told) && g.Count >= 0 && g.Count <= mostHeld && g.Askers >= 0
}
