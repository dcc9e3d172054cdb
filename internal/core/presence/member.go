package presence

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	graniteknot "graniteknot.org/go"
)

// Role is the function of a member.
type Role string

// The roles.
const (
	RoleGateway Role = "gateway"
	RoleSidecar Role = "sidecar"
)

// Member describes a process, as its record in the store does.
type Member struct {
	Box  graniteknot.BoxName          `json:"box" cbor:"1,keyasint"`
	Role Role                         `json:"role" cbor:"2,keyasint"`
	Zone graniteknot.AvailabilityZone `json:"zone" cbor:"3,keyasint"`
	// PeerAddress receives datagrams of other members.
	PeerAddress graniteknot.Address `json:"peers" cbor:"4,keyasint"`
	// RequestAddress receives callers' requests; set for gateways.
	RequestAddress graniteknot.Address `json:"requests,omitempty" cbor:"5,keyasint,omitempty"`
	// Target is the address of the replica; set for sidecars.
	Target graniteknot.Address `json:"target,omitempty" cbor:"7,keyasint,omitempty"`
	// Incarnation is a random number that identifies this start of the process.
	Incarnation graniteknot.Incarnation `json:"born" cbor:"6,keyasint"`
	// LinkRate is the bandwidth of its box in bytes per second; 0 is unknown.
	LinkRate float64 `json:"link,omitempty" cbor:"8,keyasint,omitempty"`
}

// decodeMember decodes and validates a member's record. Other writers may have put anything
// there.
func decodeMember(r graniteknot.KeyedRecord) (Member, error) {
	var m Member
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return m, err
	}
	return m, m.validate(graniteknot.BoxName(r.Key))
}

// validate returns an error if a member does not belong to the box, has an unknown role or
// has an address that does not parse.
func (m *Member) validate(box graniteknot.BoxName) error {
	if m.Box == "" || m.Box != box {
		return fmt.Errorf("member names box %.80q, its key is %.80q", m.Box, box)
	}
	if m.Role != RoleGateway && m.Role != RoleSidecar {
		return fmt.Errorf("unknown role %.80q", m.Role)
	}
	if _, err := netip.ParseAddrPort(string(m.PeerAddress)); err != nil {
		return err
	}
	if m.RequestAddress == "" {
		return nil
	}
	_, err := netip.ParseAddrPort(string(m.RequestAddress))
	return err
}

// unknownPosition stands for a record whose position in the store is not known.
const unknownPosition graniteknot.Position = -1

// peer is a member with the state learned from its datagrams and from bundles.
type peer struct {
	Member
	// ready is whether it last reported to be ready, lastHeard when it did.
	ready     bool
	lastHeard time.Time
	// position is that of its record in the store; unknownPosition if it became known
	// without one.
	position graniteknot.Position
	// storeLost is whether it last reported that it can't reach the store.
	storeLost bool
	// relayHeard is when it last announced itself as a relay; zero if its last datagram did
	// not.
	relayHeard time.Time
}
