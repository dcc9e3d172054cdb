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
	// Sequence grows with each datagram of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Ready is set by gateways that accept requests.
	Ready bool `cbor:"4,keyasint,omitempty"`
	// Self describes the sender; set by gateways.
	Self *Member `cbor:"6,keyasint,omitempty"`
	// Load is the replica's load; set by sidecars.
	Load *LoadReport `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the gateway's configuration version; 0 is none.
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
	// Relay is set by gateways that forward messages to the gateways of their zone.
	Relay bool `cbor:"10,keyasint,omitempty"`
	// Bundle is what a relay forwards.
	Bundle *Bundle `cbor:"11,keyasint,omitempty"`
	// QuarantineDigest is the digest of the requests that the sender knows to crash replicas;
	// 0 is none. QuarantineRecords are some of them, as package quarantine encodes them.
	QuarantineDigest  uint64 `cbor:"12,keyasint,omitempty"`
	QuarantineRecords []byte `cbor:"13,keyasint,omitempty"`
	// Quota carries the gateways' messages on limits, as package quota encodes them.
	Quota []byte `cbor:"14,keyasint,omitempty"`
	// StoreLost is set by gateways that can't reach the store.
	StoreLost bool `cbor:"15,keyasint,omitempty"`
	// Evacuations are the evacuated zones that the gateway knows, as package evacuation encodes
	// them.
	Evacuations []byte `cbor:"16,keyasint,omitempty"`
	// Demand is the gateway's demand for the coordinated services, as package demand encodes it.
	Demand []byte `cbor:"17,keyasint,omitempty"`
	// Claims are promised returns of refused callers, as package returns encodes them.
	Claims []byte `cbor:"18,keyasint,omitempty"`
	// Query and Reply are set if the datagram is one.
	Query *Query `cbor:"7,keyasint,omitempty"`
	Reply *Reply `cbor:"8,keyasint,omitempty"`
}

// LoadReport is a replica's load, read by its sidecar just before sending.
type LoadReport struct {
	// Target is the replica's address.
	Target  graniteknot.Address `cbor:"1,keyasint"`
	Running int                 `cbor:"2,keyasint,omitempty"`
	Waiting int                 `cbor:"3,keyasint,omitempty"`
	// Pace above 1 is a slow replica; 0 is unknown.
	Pace float32 `cbor:"5,keyasint,omitempty"`
	// GroupOpen tells that the replica's lock-step group runs, or that it has none.
	GroupOpen bool `cbor:"7,keyasint,omitempty"`
	// PassMicros is the duration of a pass of the group; 0 is unknown.
	PassMicros int64 `cbor:"8,keyasint,omitempty"`
	// Skew and Loading are the forecast of the group's keeper that the sidecar has: the
	// step-time skew, and whether ranks load experts. ForecastSequence grows with each
	// forecast; 0 is none.
	Skew             float32 `cbor:"9,keyasint,omitempty"`
	Loading          bool    `cbor:"10,keyasint,omitempty"`
	ForecastSequence uint64  `cbor:"11,keyasint,omitempty"`
	// LifeMark identifies the replica that is at the address now; 0 is unknown.
	LifeMark catalog.Mark `cbor:"12,keyasint,omitempty"`
}

func encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (*Message, error) {
	m := &Message{}
	return m, cbor.Unmarshal(b, m)
}
