package settings

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
)

// ServiceKind tells models from plain services.
type ServiceKind uint8

// The kinds of services, in the order of the schema's words.
const (
	ServiceModel ServiceKind = iota
	ServicePlain
)

// ServiceView is what is in force for a service.
type ServiceView struct {
	Name         graniteknot.Service
	Partner      graniteknot.Partner
	Kind         ServiceKind
	Targets      []graniteknot.Address
	ClaimsAt     []graniteknot.Address
	Repeatable   bool
	ChecksFences bool
	// Version is empty when the targets are ordered nothing.
	Version string
	// RollInterval is the time between the waves of a new version.
	RollInterval time.Duration
	MaxBody      graniteknot.Bytes
	MaxTokens    graniteknot.Tokens
	Deadline     time.Duration
	Priority     graniteknot.Priority
}

// AccountView is what is in force for a client account.
type AccountView struct {
	Name    graniteknot.Account
	Partner graniteknot.Partner
	// Services holds "*" alone when all services of the partner are allowed.
	Services []string
	// RequestRate, TokenRate and Concurrent are 0 for no limit.
	RequestRate int64
	TokenRate   int64
	Concurrent  int64
	// Entries is the number of the partner's entry boxes.
	Entries  int64
	Deadline time.Duration
	Priority graniteknot.Priority
}

// May tells whether the account may use a service of its partner.
func (a *AccountView) May(s graniteknot.Service) bool {
	return slices.Contains(a.Services, "*") || slices.Contains(a.Services, string(s))
}

// HashKey returns the key_sha256 of a bearer key.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}

// AccountByKey finds the account that a bearer key belongs to.
func (t *Tree) AccountByKey(bearer string) (*AccountView, bool) {
	id, ok := t.accounts.Get(hashText, HashKey(bearer))
	if !ok {
		return nil, false
	}
	return t.account(*id), true
}

// Account returns a partner's client account.
func (t *Tree) Account(p graniteknot.Partner, name graniteknot.Account) (*AccountView, bool) {
	id := SectionID{Branch: Branch(p), Level: LevelAccount, Name: string(name)}
	if t.section(id) == nil {
		return nil, false
	}
	return t.account(id), true
}

func (t *Tree) account(id SectionID) *AccountView {
	number := func(key Key) int64 { return t.number(id, key) }
	names, _ := t.lookup(id, KeyServices)
	return &AccountView{
		Name:        graniteknot.Account(id.Name),
		Partner:     id.Branch.Partner(),
		Services:    splitList(names.Text),
		RequestRate: number(KeyRequestRate),
		TokenRate:   number(KeyTokenRate),
		Concurrent:  number(KeyConcurrent),
		Entries:     number(KeyEntries),
		Deadline:    time.Duration(number(KeyDeadline)),
		Priority:    graniteknot.Priority(number(KeyPriority)),
	}
}

// Service returns a partner's service.
func (t *Tree) Service(p graniteknot.Partner, name graniteknot.Service) (*ServiceView, bool) {
	id := SectionID{Branch: Branch(p), Level: LevelService, Name: string(name)}
	if t.section(id) == nil {
		return nil, false
	}
	number := func(key Key) int64 { return t.number(id, key) }
	targets, _ := t.lookup(id, KeyTargets)
	claims, _ := t.lookup(id, KeyClaimsAt)
	version, _ := t.lookup(id, KeyVersion)
	return &ServiceView{
		Name:         name,
		Partner:      p,
		Kind:         ServiceKind(number(KeyKind)),
		Targets:      addressList(targets.Text),
		ClaimsAt:     addressList(claims.Text),
		Repeatable:   number(KeyRepeatable) == 1,
		ChecksFences: number(KeyChecksFences) == 1,
		Version:      version.Text,
		RollInterval: time.Duration(number(KeyRollInterval)),
		MaxBody:      graniteknot.Bytes(number(KeyMaxBody)),
		MaxTokens:    graniteknot.Tokens(number(KeyMaxTokens)),
		Deadline:     time.Duration(number(KeyDeadline)),
		Priority:     graniteknot.Priority(number(KeyPriority)),
	}, true
}

// RootView is what is in force for all.
type RootView struct {
	AddressValid time.Duration
	RetryPercent int64
}

// Root returns what is in force for all.
func (t *Tree) Root() RootView {
	id := SectionID{Branch: Root, Level: LevelRoot}
	return RootView{
		AddressValid: time.Duration(t.number(id, KeyAddressValid)),
		RetryPercent: t.number(id, KeyRetryPercent),
	}
}

// Weights returns how a partner weighs skew against moving cost.
func (t *Tree) Weights(p graniteknot.Partner) (skew, cost int64) {
	id := SectionID{Branch: Branch(p), Level: LevelPartner}
	return t.number(id, KeyWeightSkew), t.number(id, KeyWeightCost)
}

func (t *Tree) number(id SectionID, key Key) int64 {
	setting, _ := t.lookup(id, key)
	return setting.Number
}

// Evacuated reports whether a partner sends no new work to targets in an availability zone.
func (t *Tree) Evacuated(p graniteknot.Partner, z graniteknot.AvailabilityZone) bool {
	return t.number(SectionID{Branch: Branch(p), Level: LevelZone, Name: string(z)}, KeyEvacuated) == 1
}

// Serves tells whether the agent at an address is among the targets.
func (s *ServiceView) Serves(a graniteknot.Address) bool { return slices.Contains(s.Targets, a) }

// HasAccount tells whether an account is in force.
func (t *Tree) HasAccount(p graniteknot.Partner, name graniteknot.Account) bool {
	return t.section(SectionID{Branch: Branch(p), Level: LevelAccount, Name: string(name)}) != nil
}

// Services returns a partner's services, sorted by name.
func (t *Tree) Services(p graniteknot.Partner) []*ServiceView {
	return t.services(func(s *ServiceView) bool { return s.Partner == p })
}

// ServicesAt returns the services of all partners that have an agent among
// their targets, sorted by name.
func (t *Tree) ServicesAt(a graniteknot.Address) []*ServiceView {
	return t.services(func(s *ServiceView) bool { return s.Serves(a) })
}

func (t *Tree) services(match func(*ServiceView) bool) []*ServiceView {
	var out []*ServiceView
	t.sections.Each(func(id SectionID, s *Section) {
		if id.Level != LevelService || s.Deleted {
			return
		}
		if v, ok := t.Service(id.Branch.Partner(), graniteknot.Service(id.Name)); ok && match(v) {
			out = append(out, v)
		}
	})
	slices.SortFunc(out, func(a, b *ServiceView) int {
		return cmp.Or(strings.Compare(string(a.Name), string(b.Name)), strings.Compare(string(a.Partner), string(b.Partner)))
	})
	return out
}
