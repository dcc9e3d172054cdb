package member

import (
	"cmp"

	graniteknot "graniteknot.org/go"
)

// State is what a view holds of a member.
type State uint8

// The states; for equal incarnations and versions a larger one overrules.
const (
	StateAlive State = iota
	StateLeaving
	StateSuspect
	StateDead
)

var stateWords = [...]string{"alive", "leaving", "suspect", "dead"}

// String returns the word used in status answers.
func (s State) String() string { return stateWords[s] }

// Role names what a member does.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Member is one line of a view.
type Member struct {
	Address     graniteknot.Address
	Incarnation graniteknot.Incarnation
	// Version is counted up only by the member itself.
	Version uint32
	State   State
	Zone    graniteknot.AvailabilityZone
	Box     graniteknot.BoxName
	Role    Role
	Partner graniteknot.Partner
}

// newer tells whether what m says overrules what o says of the same address.
func (m *Member) newer(o *Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Version, o.Version),
		cmp.Compare(m.State, o.State),
	) > 0
}
