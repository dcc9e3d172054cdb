package presence_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
)

// registry is many processes that register and follow each other, in virtual time.
type registry struct {
	store keyed.Store
	views []*presence.View
	run   group.Group
}

func (r *registry) add(role presence.Role, n int) {
	for range n {
		i := len(r.views)
		view := &presence.View{}
		r.views = append(r.views, view)
		self := presence.Member{
			Box: graniteknot.BoxName(fmt.Sprint("b", i)), Role: role, Zone: "z", PeerAddress: graniteknot.Address(fmt.Sprintf("127.0.0.1:%d", 1000+i)),
			RequestAddress: graniteknot.Address(fmt.Sprintf("127.0.0.2:%d", 1000+i)), Target: graniteknot.Address(fmt.Sprintf("127.0.0.3:%d", 1000+i)), Incarnation: graniteknot.Incarnation(i + 1),
		}
		x := &presence.Registrar{Store: &r.store, Self: self, View: view, Health: &watch.Health{}}
		r.run.Go(x.Register)
		r.run.Go(x.Follow)
		r.run.Go(func(ctx context.Context) { r.hellos(ctx, view) })
	}
}

// hellos keeps all that a view knows alive.
func (r *registry) hellos(ctx context.Context, v *presence.View) {
	for ctx.Err() == nil {
		time.Sleep(presence.HeartbeatInterval)
		for _, role := range []presence.Role{presence.RoleGateway, presence.RoleSidecar} {
			for _, m := range v.Members(role, "") {
				v.ApplyMessage(&presence.Message{Box: m.Box, Ready: true}, time.Now())
			}
		}
	}
}

// recorded counts the members that the store has a record of.
func (r *registry) recorded(t *testing.T) int {
	t.Helper()
	page, err := r.store.Newest(context.Background(), graniteknot.TopicMembers)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records)
}

// TestDrillCostsFewCalls has the store come back from a copy without a fifth of 60 processes,
// twice in a row: all have records again within 5 s, and the calls of each drill are no more
// than twice those of a store that forgets its history, after which all read anew as well.
func TestDrillCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, sidecars, late, settled = 12, 36, 12, 10 * time.Second
		r := &registry{}
		defer r.run.Stop()
		r.add(presence.RoleGateway, gateways)
		r.add(presence.RoleSidecar, sidecars)
		time.Sleep(settled)
		dated := r.store.Copy()
		r.add(presence.RoleSidecar, late)
		time.Sleep(settled)
		calls := func(what func(), within time.Duration) int {
			before := r.store.Calls()
			what()
			time.Sleep(within)
			return r.store.Calls() - before
		}
		quiet := calls(func() {}, settled)
		reconnect := calls(func() { r.store.Trim(graniteknot.TopicMembers) }, settled) - quiet
		for drill := range 2 {
			cost := calls(func() { r.store.Restore(dated) }, settled) - quiet
			if n := r.recorded(t); n != gateways+sidecars+late {
				t.Errorf("drill %d: %d of %d processes have a record", drill, n, gateways+sidecars+late)
			}
			t.Logf("drill %d: %d calls, a reconnect %d, quiet %d", drill, cost, reconnect, quiet)
			if cost > 2*max(reconnect, gateways+sidecars+late) {
				t.Errorf("drill %d: %d calls, %d for a reconnect", drill, cost, reconnect)
			}
		}
	})
}
