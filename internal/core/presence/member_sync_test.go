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

var errKind = errors.New("unknown query kind")

// syncProcess is a process with a socket and a view that answers membership queries.
type syncProcess struct {
	view       presence.View
	memberSync presence.MemberSync
}

func newSyncProcess(t *testing.T, role presence.Role, box graniteknot.BoxName) *syncProcess {
	t.Helper()
	s := listen(t)
	p := &syncProcess{}
	p.memberSync = presence.MemberSync{
		Socket: s, View: &p.view,
		Self: presence.Member{Box: box, Role: role, Zone: "z", PeerAddress: s.Address(), Incarnation: graniteknot.Incarnation(len(box))},
	}
	s.HandleQueries(func(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
		out, handled, err := p.memberSync.HandleQuery(kind, body)
		if !handled {
			return nil, errKind
		}
		return out, err
	})
	return p
}

// TestMemberSync checks that a sidecar that knows one gateway learns of all others from it,
// and that an older record does not replace a newer incarnation.
func TestMemberSync(t *testing.T) {
	gateway, sidecar := newSyncProcess(t, presence.RoleGateway, "g"), newSyncProcess(t, presence.RoleSidecar, "s")
	now := time.Now()
	const others = 200
	for i := range others {
		m := member(graniteknot.BoxName("other-"+strconv.Itoa(i)), 5)
		gateway.view.PutRecord(m, graniteknot.Position(i), now)
	}
	sidecar.view.PutRecord(gateway.memberSync.Self, 300, now)
	newer := member("other-0", 6)
	sidecar.view.PutRecord(newer, 301, now)
	for range 20 {
		if sidecar.memberSync.Sync(t.Context()) && len(sidecar.view.Members(presence.RoleGateway, "")) > 2 {
			break
		}
	}
	known := sidecar.view.Members(presence.RoleGateway, "")
	if len(known) != others+1 {
		t.Fatalf("%d gateways are known", len(known))
	}
	for _, m := range known {
		if m.Box == newer.Box && m.Incarnation != newer.Incarnation {
			t.Errorf("got %+v instead of the newer %+v", m, newer)
		}
	}
	alone := newSyncProcess(t, presence.RoleSidecar, "a")
	if alone.memberSync.Sync(t.Context()) {
		t.Error("sync succeeded without any gateway")
	}
}
