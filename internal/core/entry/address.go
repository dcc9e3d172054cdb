package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/ticket"
	"graniteknot.org/go/member"
	"graniteknot.org/go/route"
	"graniteknot.org/go/settings"
)

// addressAnswer tells a caller which entries to use, the best first.
type addressAnswer struct {
	Addresses []addressLine `json:"addresses"`
	// ValidForSeconds is how long the answer may be kept.
	ValidForSeconds int64 `json:"valid_for_seconds"`
	// KeyPrefix is what the caller begins its idempotency keys with: it names
	// the authority for requests that may not be repeated.
	KeyPrefix string `json:"key_prefix,omitempty"`
}

type addressLine struct {
	Address graniteknot.Address          `json:"address"`
	Zone    graniteknot.AvailabilityZone `json:"availability_zone"`
}

// addresses answers which entries to use. A caller may name its own zone.
func (e *Entry) addresses(w http.ResponseWriter, r *http.Request) {
	c, f := e.identify(w, r)
	if f != nil {
		e.reject(w, f)
		return
	}
	name := graniteknot.Service(r.URL.Query().Get("service"))
	service, ok := c.tree.Service(c.account.Partner, name)
	if !ok || !c.account.May(name) {
		kind := settings.ServiceModel
		if ok {
			kind = service.Kind
		}
		_, f := c.service(name, kind)
		e.reject(w, f)
		return
	}
	zone := graniteknot.AvailabilityZone(r.URL.Query().Get("availability_zone"))
	if zone == "" {
		zone = e.node.Config.Zone
	}
	answer := addressAnswer{
		Addresses:       e.order(c, zone),
		ValidForSeconds: int64(c.tree.Root().AddressValid / time.Second),
		KeyPrefix:       e.keyPrefix(r.Context(), service),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *Entry) reject(w http.ResponseWriter, f *failure) {
	e.counts.rejected.Add(1)
	f.write(w)
}

// order lists the partner's entries: nearest zone first, leaving and suspected
// ones left out. Within a zone the order differs from caller to caller and
// from answer to answer by the minute, so that callers spread.
func (e *Entry) order(c *caller, zone graniteknot.AvailabilityZone) []addressLine {
	var usable []member.Member
	for _, m := range e.node.Members.Members(member.RoleEntry) {
		if m.Partner == c.account.Partner && m.State == member.StateAlive && !e.node.BoxLeaving(m.Address) {
			usable = append(usable, m)
		}
	}
	minute := strconv.FormatInt(c.arrived.Unix()/60, 10)
	weight := func(m member.Member) uint64 {
		return xxhash.Sum64String(minute + string(c.account.Name) + string(c.id) + string(m.Address))
	}
	slices.SortFunc(usable, func(a, b member.Member) int {
		return cmp.Or(compareZone(a.Zone, b.Zone, zone), cmp.Compare(weight(a), weight(b)))
	})
	out := make([]addressLine, len(usable))
	for i, m := range usable {
		out[i] = addressLine{Address: m.Address, Zone: m.Zone}
	}
	return out
}

// compareZone puts the caller's own zone first.
func compareZone(a, b, own graniteknot.AvailabilityZone) int {
	if a == own && b != own {
		return -1
	}
	if b == own && a != own {
		return 1
	}
	return 0
}

// keyPrefix names an authority for the caller's next requests; empty when no
// target has been heard from.
func (e *Entry) keyPrefix(ctx context.Context, s *settings.ServiceView) string {
	now := time.Now()
	choice, ok := e.relay.ChooseAuthority(ctx, s, &route.Query{Zone: e.node.Config.Zone, Now: now})
	if !ok {
		return ""
	}
	e.routes.Table(s).Done(choice.Address, route.ResultCancelled, now)
	if choice.Incarnation == 0 {
		return ""
	}
	t := ticket.Ticket{
		Service: s.Name, Address: choice.Address, Incarnation: choice.Incarnation, Issued: now.UnixMilli(),
	}
	return t.Prefix()
}
