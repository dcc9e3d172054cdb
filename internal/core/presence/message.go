package presence

import (
	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Message is one datagram.
type Message struct {
	Box         graniteknot.BoxName     `cbor:"1,keyasint"`
	Incarnation graniteknot.Incarnation `cbor:"2,keyasint"`
	// Sequence grows with each datagram of a life.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready gateways take requests.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// Self describes the sender; gateways set it.
	Self *Member `cbor:"6,keyasint,omitempty"`
	// Load is set by sidecars.
	Load *LoadReport `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that a gateway has; 0 for none.
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
	// Relay gateways pass on what they are told to those of their zone.
	Relay bool `cbor:"10,keyasint,omitempty"`
	// Bundle is what a relay passes on.
	Bundle *Bundle `cbor:"11,keyasint,omitempty"`
	// QuarantineDigest is the digest of the requests that the sender knows to end replicas; 0 is
	// none. Quarantined are some of them, as package quarantine writes them.
	QuarantineDigest  uint64 `cbor:"12,keyasint,omitempty"`
	QuarantineRecords []byte `cbor:"13,keyasint,omitempty"`
	// Quota is what gateways tell and ask each other of limits, as package quota writes it.
	Quota []byte `cbor:"14,keyasint,omitempty"`
	// StoreLost tells that the store does not answer the sender, a gateway.
	StoreLost bool `cbor:"15,keyasint,omitempty"`
	// Query and Answer are set where the datagram is one.
	Query *Query `cbor:"7,keyasint,omitempty"`
	Reply *Reply `cbor:"8,keyasint,omitempty"`
}

// LoadReport is a replica's load, as its sidecar read it just before sending.
type LoadReport struct {
	// Target is the replica's address.
	Target  graniteknot.Address `cbor:"1,keyasint"`
	Running int                 `cbor:"2,keyasint,omitempty"`
	Waiting int                 `cbor:"3,keyasint,omitempty"`
	Pace    float32             `cbor:"5,keyasint,omitempty"`
	// GroupOpen tells that the replica's lock-step group runs, or that it has none.
	GroupOpen bool `cbor:"7,keyasint,omitempty"`
	// PassMicros is how long a pass of the group takes, in microseconds; 0 is unknown.
	PassMicros int64 `cbor:"8,keyasint,omitempty"`
	// Skew and Loading are the forecast of the group's keeper, as the sidecar heard
	// it; Forecast is its number, which grows; 0 is none.
	Skew             float32 `cbor:"9,keyasint,omitempty"`
	Loading          bool    `cbor:"10,keyasint,omitempty"`
	ForecastSequence uint64  `cbor:"11,keyasint,omitempty"`
	// LifeMark is the mark of the replica that is at the address now; 0 is unknown.
	LifeMark catalog.Mark `cbor:"12,keyasint,omitempty"`
}

func encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (*Message, error) {
	m := &Message{}
	return m, cbor.Unmarshal(b, m)
}
