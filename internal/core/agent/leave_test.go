package agent_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/procconf"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/member"
)

// lateEntry is an entry that is told of a leaving agent again and again before it takes
// note: until then it names the agent to callers.
type lateEntry struct {
	wire.Peer

	address string
	// deaf is how long it does not hear of the leaving.
	deaf time.Duration

	mu sync.Mutex
	// first is when it was first told, noted when it took note; told tells the latter.
	first time.Time
	told  chan struct{}
}

var errBusy = errors.New("busy")

func (e *lateEntry) Sync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	self := &wire.Member{Address: e.address, Incarnation: 1, Version: 1, State: wire.Member_ALIVE, Role: string(member.RoleEntry), Box: "e", Partner: "p", Zone: "z"}
	for _, m := range r.GetMembers() {
		if m.GetState() == wire.Member_LEAVING && m.GetAddress() == r.GetSender() && !e.takesNote() {
			return nil, errBusy
		}
	}
	return &wire.SyncReply{Members: []*wire.Member{self}}, nil
}

func (e *lateEntry) takesNote() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.first.IsZero() {
		e.first = time.Now()
	}
	if time.Since(e.first) < e.deaf {
		return false
	}
	select {
	case <-e.told:
	default:
		close(e.told)
	}
	return true
}

// TestLeavingAgentWaitsForItsEntries keeps an agent there until the last entry knows that
// it leaves: callers come with keys that name it for as long, and only it can tell them
// that they did not run. One that went by its own clock alone was gone by then.
func TestLeavingAgentWaitsForItsEntries(t *testing.T) {
	entry := &lateEntry{deaf: 11500 * time.Millisecond, told: make(chan struct{})}
	server := httptest.NewServer(wire.NewPeerServer(entry))
	defer server.Close()
	entry.address = strings.TrimPrefix(server.URL, "http://")
	target := httptest.NewServer(http.NotFoundHandler())
	defer target.Close()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := graniteknot.Address(listener.Addr().String())
	process, err := app.New(&procconf.Config{
		Role: member.RoleAgent, Box: "a", Partner: "p", Zone: "z", Listen: address,
		Log: graniteknot.Address(entry.address), Seeds: []graniteknot.Address{graniteknot.Address(entry.address)},
		Target: graniteknot.Address(strings.TrimPrefix(target.URL, "http://")), TargetKind: procconf.TargetPlain, Slots: 1,
		StopBound: 14 * time.Second, ClaimWindow: time.Minute, SnapshotEvery: 100,
	}, listener)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	for len(process.Node.Members.Members(member.RoleEntry)) == 0 {
		time.Sleep(time.Millisecond)
	}
	var stop group.Group
	stopped := make(chan struct{})
	stop.Go(func(context.Context) {
		defer close(stopped)
		if err := process.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	defer stop.Wait()
	select {
	case <-entry.told:
	case <-stopped:
		t.Fatal("the agent was gone before the entry knew")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", string(address))
	if err != nil {
		t.Fatalf("as the entry has just learned of it: %v", err)
	}
	_ = conn.Close()
}
