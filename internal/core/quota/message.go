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

// Told is what a life's answers said of its limit to the process that read them.
type Told struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Limited tells that there is a limit, which Rate is.
	Limited bool
	Rate    Rate
	// Age is how long ago the last answer said so, in milliseconds.
	Age int64
}

// Ask asks a limit's home for permits.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Told is what the asking process knows.
	Told Told
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
	// Told is what the home knows of the limit.
	Told Told
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
	for i := range m.Told {
		if !m.Told[i].sound() {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: errNumber}
		}
	}
	for i := range m.Asks {
		if a := &m.Asks[i]; !a.Told.sound() || a.Want < 0 {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: errNumber}
		}
	}
	for i := range m.Grants {
		if !m.Grants[i].sound() {
			return nil, &Error{Op: "read message", Kind: KindMalformed, Err: errNumber}
		}
	}
	return m, nil
}

const (
	// mostRate, mostAge and mostWait bound the numbers of a message, rates in requests a
	// second and times in milliseconds.
	mostRate Rate = 1e6
	mostAge       = int64(24 * time.Hour / time.Millisecond)
	mostWait      = int64(time.Minute / time.Millisecond)
)

func (t *Told) sound() bool {
	return t.Key.ID != "" && t.Rate >= 0 && t.Rate <= mostRate && t.Age >= 0 && t.Age <= mostAge
}

func (g *Grant) sound() bool {
	waits := min(g.From, g.Every, g.Again) >= 0 && max(g.From, g.Every, g.Again) <= mostWait
	return waits && g.Told.sound() && g.Count >= 0 && g.Count <= mostHeld && g.Askers >= 0
}
