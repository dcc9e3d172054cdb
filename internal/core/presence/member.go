package presence

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	graniteknot "graniteknot.org/go"
)

// Role is what a member does.
type Role string

// The roles.
const (
	RoleGateway Role = "gateway"
	RoleSidecar Role = "sidecar"
)

// Member is a process as the store's record describes it.
type Member struct {
	Box  graniteknot.BoxName          `json:"box" cbor:"1,keyasint"`
	Role Role                         `json:"role" cbor:"2,keyasint"`
	Zone graniteknot.AvailabilityZone `json:"zone" cbor:"3,keyasint"`
	// PeerAddress is where it takes datagrams.
	PeerAddress graniteknot.Address `json:"peers" cbor:"4,keyasint"`
	// RequestAddress is where a gateway takes callers' requests.
	RequestAddress graniteknot.Address `json:"requests,omitempty" cbor:"5,keyasint,omitempty"`
	// Target is a sidecar's replica.
	Target graniteknot.Address `json:"target,omitempty" cbor:"7,keyasint,omitempty"`
	// Incarnation tells this life of the process from others; it is a random number.
	Incarnation graniteknot.Incarnation `json:"born" cbor:"6,keyasint"`
	// LinkRate is what its box can send, in bytes a second; 0 is unknown.
	LinkRate float64 `json:"link,omitempty" cbor:"8,keyasint,omitempty"`
}

// memberOf reads a member's record. Whatever is not as members write it is another
// writer's, and an error.
func memberOf(r graniteknot.KeyedRecord) (Member, error) {
	var m Member
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return m, err
	}
	return m, m.check(graniteknot.BoxName(r.Key))
}

// check tells what a member lacks to be told anything, or to be told of.
func (m *Member) check(box graniteknot.BoxName) error {
	if m.Box == "" || m.Box != box {
		return fmt.Errorf("box %.80q is not %.80q", m.Box, box)
	}
	if m.Role != RoleGateway && m.Role != RoleSidecar {
		return fmt.Errorf("role %.80q", m.Role)
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

// unrecorded is the position of a record that is not known.
const unrecorded graniteknot.Position = -1

// peer is a member with what was heard of it.
type peer struct {
	Member
	// ready is what its last datagram said; heard is when that came.
	ready bool
	heard time.Time
	// at is the position of its record in the store; unrecorded when it was heard of
	// otherwise.
	at graniteknot.Position
	// lost tells that the store did not answer it when it last said so.
	lost bool
	// relay is when it last said itself that it is a relay; zero when it does not.
	relay time.Time
}
