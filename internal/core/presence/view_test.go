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

// member returns a gateway.
func member(box graniteknot.BoxName, incarnation graniteknot.Incarnation) presence.Member {
	address := graniteknot.Address(fmt.Sprint("127.0.0.1:", int(box[0])))
	return presence.Member{Box: box, Role: presence.RoleGateway, PeerAddress: address, RequestAddress: address, Incarnation: incarnation}
}

// names concatenates the boxes of members.
func names(list []presence.Member) string {
	out := ""
	for _, m := range list {
		out += string(m.Box)
	}
	return out
}

// TestReadyMembers checks for how long members count as ready: a new member for 1 s, one that
// was heard for 1.5 s, and one that reported not to be ready not at all.
func TestReadyMembers(t *testing.T) {
	var v presence.View
	now := time.Now()
	v.Put(member("a", 1), now)
	v.Put(member("b", 1), now)
	at := func(d time.Duration) string {
		return names(v.ReadyMembers(presence.RoleGateway, "", now.Add(d)))
	}
	if got := at(900 * time.Millisecond); got != "ab" {
		t.Errorf("new members: %q", got)
	}
	v.ApplyMessage(&presence.Message{Box: "a", Ready: true}, now.Add(time.Second))
	if got := at(2400 * time.Millisecond); got != "a" {
		t.Errorf("after a message of a: %q", got)
	}
	if got := at(2600 * time.Millisecond); got != "" {
		t.Errorf("after 1.6 s of silence: %q", got)
	}
	v.ApplyMessage(&presence.Message{Box: "a"}, now.Add(3*time.Second))
	if got := at(3 * time.Second); got != "" {
		t.Errorf("not ready: %q", got)
	}
	if got := names(v.Members(presence.RoleGateway, "b")); got != "a" {
		t.Errorf("members except b: %q", got)
	}
}

// TestMessageIntroducesSender checks that a message that describes its sender adds it, and that
// a new incarnation replaces the former one whichever number is larger.
func TestMessageIntroducesSender(t *testing.T) {
	var v presence.View
	now := time.Now()
	self := member("a", 9)
	v.ApplyMessage(&presence.Message{Box: "a", Ready: true, Self: &self}, now)
	if got := names(v.ReadyMembers(presence.RoleGateway, "", now)); got != "a" {
		t.Errorf("ready: %q", got)
	}
	if !v.Put(member("a", 3), now) || v.Put(member("a", 3), now) {
		t.Error("incarnation 3 after 9 is not new, or is new twice")
	}
}

// TestRegistrars checks that processes find each other through the store, even if it was
// unavailable when one of them started.
func TestRegistrars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		var run group.Group
		defer run.Stop()
		views := map[graniteknot.BoxName]*presence.View{"a": {}, "b": {}}
		start := func(box graniteknot.BoxName) {
			r := &presence.Registrar{Store: store, Self: member(box, 1), View: views[box], Health: &watch.Health{}}
			run.Go(func(ctx context.Context) { r.Register(ctx) })
			run.Go(func(ctx context.Context) { r.Follow(ctx) })
		}
		start("a")
		store.Set(keyed.FaultLose)
		start("b")
		time.Sleep(5 * time.Second)
		store.Set(keyed.FaultNone)
		time.Sleep(30 * time.Second)
		if got := names(views["a"].Members(presence.RoleGateway, "a")); got != "b" {
			t.Errorf("a knows %q, want b", got)
		}
		if got := names(views["b"].Members(presence.RoleGateway, "b")); got != "a" {
			t.Errorf("b knows %q, want a", got)
		}
	})
}

// TestKnownProcessDoesNotRegisterAgain checks that a process that restarts at the same
// addresses writes no record, and that one at another address does.
func TestKnownProcessDoesNotRegisterAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		runProcess := func(m presence.Member) {
			var run group.Group
			r := &presence.Registrar{Store: store, Self: m, View: &presence.View{}, Health: &watch.Health{}}
			run.Go(r.Register)
			run.Go(r.Follow)
			time.Sleep(2 * time.Second)
			run.Stop()
		}
		countRecords := func() graniteknot.Position {
			page, err := store.Newest(context.Background(), graniteknot.TopicMembers)
			if err != nil {
				t.Fatal(err)
			}
			return page.End
		}
		runProcess(member("a", 1))
		runProcess(member("a", 2))
		if got := countRecords(); got != 1 {
			t.Errorf("%d records after a restart at the same address, want 1", got)
		}
		moved := member("a", 3)
		moved.PeerAddress = "127.0.0.1:9"
		runProcess(moved)
		if got := countRecords(); got != 2 {
			t.Errorf("%d records after a restart at another address, want 2", got)
		}
	})
}

// TestRestartLeavesDigest checks that a member that restarts at its addresses does not have all
// others fetch the members anew, and that one that moves does.
func TestRestartLeavesDigest(t *testing.T) {
	now, view, self := time.Now(), &presence.View{}, member("self", 1)
	view.PutRecord(member("a", 1), 1, now)
	view.PutRecord(member("b", 1), 2, now)
	before := view.Digest(self)
	restarted := member("a", 2)
	if !view.ApplyMessage(&presence.Message{Box: "a", Self: &restarted, Ready: true}, now) || view.Digest(self) != before {
		t.Error("the digest depends on the incarnation")
	}
	moved := member("a", 3)
	moved.PeerAddress = "10.9.9.9:1"
	view.PutRecord(moved, 5, now)
	if view.Digest(self) == before {
		t.Error("the digest does not depend on the address")
	}
	view.Remove("b")
	view.PutRecord(restarted, 6, now)
	view.PutRecord(member("b", 7), 7, now)
	if view.Digest(self) != before {
		t.Error("the digest depends on the order")
	}
}
