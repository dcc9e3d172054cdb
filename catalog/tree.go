package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
)

// Version is the version of a tree; it only increases.
type Version int64

// Account is a client account.
type Account struct {
	Name graniteknot.Account
	// Urgency replaces the route's if HasUrgency is set.
	Urgency    Urgency
	HasUrgency bool
	// Regions are the regions whose replicas may get the account's requests; empty is all.
	Regions []Region
}

// Tree is one version of the configuration. It is immutable.
type Tree struct {
	Version Version
	Limits  Limits
	// Tenanted trees require a key on all routes that are not public.
	Tenanted bool

	services map[graniteknot.Service]*Service
	// routes holds each host's routes, longest prefix first.
	routes   map[string][]*Route
	accounts map[Secret]*Account
}

// Secret is an API key of an account. It is never logged.
type Secret string

// Parts are the contents of a tree.
type Parts struct {
	Version  Version
	Limits   Limits
	Tenanted bool
	Services []*Service
	Routes   []*Route
	Accounts map[Secret]*Account
}

// NewTree validates the parts and returns a tree of them.
func NewTree(p Parts) (*Tree, error) {
	t := &Tree{
		Version: p.Version, Limits: p.Limits, Tenanted: p.Tenanted, accounts: p.Accounts,
		services: make(map[graniteknot.Service]*Service, len(p.Services)), routes: map[string][]*Route{},
	}
	for _, s := range p.Services {
		t.services[s.Name] = s
	}
	for _, r := range p.Routes {
		if err := t.check(r); err != nil {
			return nil, &Error{Op: "new tree", Kind: KindInvalid, Err: err}
		}
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range t.services {
		s.Coordinated = s.Engine != nil && t.competing(s.Name)
	}
	return t, nil
}

// competing reports whether the routes to a service differ in urgency. Different latency targets
// alone do not make callers give way to each other, and coordination costs them messages and
// slots that are reserved.
func (t *Tree) competing(s graniteknot.Service) bool {
	var first *Route
	for _, list := range t.routes {
		for _, r := range list {
			if !r.sends(s) {
				continue
			}
			if first == nil {
				first = r
			}
			if r.Urgency != first.Urgency {
				return true
			}
		}
	}
	return false
}

func (t *Tree) check(r *Route) error {
	if len(r.Shares) == 0 {
		return fmt.Errorf("route %q: no service", r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return fmt.Errorf("route %q: unknown service %q", r.Name, s.Service)
		}
	}
	return nil
}

// Route returns the route of a host and path; nil if there is none.
func (t *Tree) Route(host, path string) *Route {
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service; nil if there is none.
func (t *Tree) Service(name graniteknot.Service) *Service { return t.services[name] }

// WarmupRate returns the warm-up rate of a service; 0 if it has none or is not configured.
func (t *Tree) WarmupRate(name graniteknot.Service) float64 {
	if s := t.Service(name); s != nil {
		return s.WarmupRate
	}
	return 0
}

// Services returns all services, in no order.
func (t *Tree) Services() []*Service {
	out := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	return out
}

// CoordinatedServices returns the names of the services with coordinated admission, in order.
func (t *Tree) CoordinatedServices() []graniteknot.Service {
	var out []graniteknot.Service
	for _, s := range t.services {
		if s.Coordinated {
			out = append(out, s.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Account returns the account of a key; nil if there is none.
func (t *Tree) Account(key Secret) *Account { return t.accounts[key] }

// Gap returns the shortest GapAim of the routes to a service; 0 if none has one.
func (t *Tree) Gap(s graniteknot.Service) time.Duration {
	var least time.Duration
	for _, list := range t.routes {
		for _, r := range list {
			if r.GapAim > 0 && r.sends(s) && (least == 0 || r.GapAim < least) {
				least = r.GapAim
			}
		}
	}
	return least
}

// RouteCount returns how many routes the tree has, for logs.
func (t *Tree) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}
