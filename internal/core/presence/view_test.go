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

func member(box graniteknot.BoxName, born graniteknot.Incarnation) presence.Member {
	address := graniteknot.Address(fmt.Sprint("127.0.0.1:", int(box[0])))
	return presence.Member{Box: box, Role: presence.RoleGateway, PeerAddress: address, RequestAddress: address, Incarnation: born}
}

func names(list []presence.Member) string {
	out := ""
	for _, m := range list {
		out += string(m.Box)
	}
	return out
}

// TestAlive counts a newcomer for a second, one that was heard for a second and
// a half, and one that says that it is not ready not at all.
func TestAlive(t *testing.T) {
	var v presence.View
	now := time.Now()
	v.Put(member("a", 1), now)
	v.Put(member("b", 1), now)
	at := func(d time.Duration) string {
		return names(v.ReadyMembers(presence.RoleGateway, "", now.Add(d)))
	}
	if got := at(900 * time.Millisecond); got != "ab" {
		t.Errorf("newcomers: %q", got)
	}
	v.ApplyMessage(&presence.Message{Box: "a", Ready: true}, now.Add(time.Second))
	if got := at(2400 * time.Millisecond); got != "a" {
		t.Errorf("after a datagram of a: %q", got)
	}
	if got := at(2600 * time.Millisecond); got != "" {
		t.Errorf("after a second and a half of silence: %q", got)
	}
	v.ApplyMessage(&presence.Message{Box: "a"}, now.Add(3*time.Second))
	if got := at(3 * time.Second); got != "" {
		t.Errorf("not ready: %q", got)
	}
	if got := names(v.Members(presence.RoleGateway, "b")); got != "a" {
		t.Errorf("members but b: %q", got)
	}
}

// TestHeardMakesKnown lets a datagram introduce its sender, and a new life take
// the place of the former one whatever number it has.
func TestHeardMakesKnown(t *testing.T) {
	var v presence.View
	now := time.Now()
	self := member("a", 9)
	v.ApplyMessage(&presence.Message{Box: "a", Ready: true, Self: &self}, now)
	if got := names(v.ReadyMembers(presence.RoleGateway, "", now)); got != "a" {
		t.Errorf("alive: %q", got)
	}
	if !v.Put(member("a", 3), now) || v.Put(member("a", 3), now) {
		t.Error("a new life is told from a known one by its number alone")
	}
}

// TestRegistrars find each other through the store, also when it was away when
// one of them started.
func TestRegistrars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		var run group.Group
		defer run.Stop()
		views := map[graniteknot.BoxName]*presence.View{"a": {}, "b": {}}
		begin := func(box graniteknot.BoxName) {
			r := &presence.Registrar{Store: store, Self: member(box, 1), View: views[box], Health: &watch.Health{}}
			run.Go(func(ctx context.Context) { r.Register(ctx) })
			run.Go(func(ctx context.Context) { r.Follow(ctx) })
		}
		begin("a")
		store.Set(keyed.FaultLose)
		begin("b")
		time.Sleep(5 * time.Second)
		store.Set(keyed.FaultNone)
		time.Sleep(30 * time.Second)
		if got := names(views["a"].Members(presence.RoleGateway, "a")); got != "b" {
			t.Errorf("a knows %q", got)
		}
		if got := names(views["b"].Members(presence.RoleGateway, "b")); got != "a" {
			t.Errorf("b knows %q", got)
		}
	})
}

// TestKnownProcessDoesNotRegisterAgain starts a process anew at the same addresses: it
// is known, and makes no record. One at another address does.
func TestKnownProcessDoesNotRegisterAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &keyed.Store{}
		live := func(m presence.Member) {
			var run group.Group
			r := &presence.Registrar{Store: store, Self: m, View: &presence.View{}, Health: &watch.Health{}}
			run.Go(r.Register)
			run.Go(r.Follow)
			time.Sleep(2 * time.Second)
			run.Stop()
		}
		records := func() graniteknot.Position {
			page, err := store.Newest(context.Background(), graniteknot.TopicMembers)
			if err != nil {
				t.Fatal(err)
			}
			return page.End
		}
		live(member("a", 1))
		live(member("a", 2))
		if got := records(); got != 1 {
			t.Errorf("%d records after a start at the same address", got)
		}
		moved := member("a", 3)
		moved.PeerAddress = "127.0.0.1:9"
		live(moved)
		if got := records(); got != 2 {
			t.Errorf("%d records after a start at another address", got)
		}
	})
}
