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

// registry runs processes that register and follow each other.
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
		registrar := &presence.Registrar{Store: &r.store, Self: self, View: view, Health: &watch.Health{}}
		r.run.Go(registrar.Register)
		r.run.Go(registrar.Follow)
		r.run.Go(func(ctx context.Context) { r.sendHeartbeats(ctx, view) })
	}
}

// sendHeartbeats applies heartbeats of all members that a view knows, so that they stay alive.
func (r *registry) sendHeartbeats(ctx context.Context, v *presence.View) {
	for ctx.Err() == nil {
		time.Sleep(presence.HeartbeatInterval)
		for _, role := range []presence.Role{presence.RoleGateway, presence.RoleSidecar} {
			for _, m := range v.Members(role, "") {
				v.ApplyMessage(&presence.Message{Box: m.Box, Ready: true}, time.Now())
			}
		}
	}
}

// countRecords returns the number of member records in the store.
func (r *registry) countRecords(t *testing.T) int {
	t.Helper()
	page, err := r.store.Newest(context.Background(), graniteknot.TopicMembers)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Records)
}

// TestRestoreCostsFewCalls restores the store twice from a copy that lacks a fifth of 60
// processes. All must have records again within 10 s, with at most twice the calls that follow
// a trimmed history, after which all processes read anew as well, or two calls per process.
func TestRestoreCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, sidecars, late, settled = 12, 36, 12, 10 * time.Second
		r := &registry{}
		defer r.run.Stop()
		r.add(presence.RoleGateway, gateways)
		r.add(presence.RoleSidecar, sidecars)
		time.Sleep(settled)
		backup := r.store.Copy()
		r.add(presence.RoleSidecar, late)
		time.Sleep(settled)
		calls := func(do func(), within time.Duration) int {
			before := r.store.Calls()
			do()
			time.Sleep(within)
			return r.store.Calls() - before
		}
		quiet := calls(func() {}, settled)
		resync := calls(func() { r.store.Trim(graniteknot.TopicMembers) }, settled) - quiet
		for restore := range 2 {
			cost := calls(func() { r.store.Restore(backup) }, settled) - quiet
			if n := r.countRecords(t); n != gateways+sidecars+late {
				t.Errorf("restore %d: %d of %d processes have a record", restore, n, gateways+sidecars+late)
			}
			t.Logf("restore %d: %d calls, %d after a trim, %d while idle", restore, cost, resync, quiet)
			if cost > 2*max(resync, gateways+sidecars+late) {
				t.Errorf("restore %d: %d calls, %d after a trim", restore, cost, resync)
			}
		}
	})
}
