package presence_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

var errKind = errors.New("no such question")

// informed is a process with a socket and a view.
type informed struct {
	view   presence.View
	census presence.MemberSync
}

func newInformed(t *testing.T, role presence.Role, box graniteknot.BoxName) *informed {
	t.Helper()
	s := listen(t)
	p := &informed{}
	p.census = presence.MemberSync{
		Socket: s, View: &p.view,
		Self: presence.Member{Box: box, Role: role, Zone: "z", PeerAddress: s.Address(), Incarnation: graniteknot.Incarnation(len(box))},
	}
	s.HandleQueries(func(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
		out, mine, err := p.census.HandleQuery(kind, body)
		if !mine {
			return nil, errKind
		}
		return out, err
	})
	return p
}

// TestCensus has a sidecar that knows one gateway learn from it of all others, and not
// put a life that ended in the place of the one that it knows.
func TestCensus(t *testing.T) {
	gateway, sidecar := newInformed(t, presence.RoleGateway, "g"), newInformed(t, presence.RoleSidecar, "s")
	now := time.Now()
	const others = 200
	for i := range others {
		m := member(graniteknot.BoxName("other-"+strconv.Itoa(i)), 5)
		gateway.view.PutRecord(m, graniteknot.Position(i), now)
	}
	sidecar.view.PutRecord(gateway.census.Self, 300, now)
	renewed := member("other-0", 6)
	sidecar.view.PutRecord(renewed, 301, now)
	for range 20 {
		if sidecar.census.Sync(t.Context()) && len(sidecar.view.Members(presence.RoleGateway, "")) > 2 {
			break
		}
	}
	known := sidecar.view.Members(presence.RoleGateway, "")
	if len(known) != others+1 {
		t.Fatalf("%d gateways are known", len(known))
	}
	for _, m := range known {
		if m.Box == renewed.Box && m.Incarnation != renewed.Incarnation {
			t.Errorf("%+v is known in the place of %+v", m, renewed)
		}
	}
	alone := newInformed(t, presence.RoleSidecar, "a")
	if alone.census.Sync(t.Context()) {
		t.Error("nobody was there to answer")
	}
}
