package presence_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

const blockedKind, silentKind presence.QueryKind = 1, 2

// listenAt opens a socket on an address.
func listenAt(t *testing.T, a graniteknot.Address) *presence.Socket {
	t.Helper()
	s, err := presence.Listen(context.Background(), a, "box", 1, nil, func(*presence.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// ask sends one query and returns the reply's body, and whether there was one within a duration.
func ask(s *presence.Socket, to graniteknot.Address, kind presence.QueryKind, wait time.Duration) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	body, err := s.Ask(ctx, to, kind, nil)
	return string(body), err == nil
}

// TestReplyToFormerProcessIsDropped guards against a reply to a process's former life that answers a query of the next one.
func TestReplyToFormerProcessIsDropped(t *testing.T) {
	server := listen(t)
	release, received := make(chan struct{}), make(chan struct{}, 1)
	server.HandleQueries(func(ctx context.Context, kind presence.QueryKind, _ []byte) ([]byte, error) {
		if kind == blockedKind {
			received <- struct{}{}
			<-release
			return []byte("to the former process"), nil
		}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	former := listen(t)
	address := former.Address()
	go func() { _, _ = ask(former, server.Address(), blockedKind, 5*time.Second) }()
	select {
	case <-received:
	case <-time.After(5 * time.Second):
		t.Fatal("the query did not arrive")
	}
	former.Close()
	next := listenAt(t, address)
	answered := make(chan string, 1)
	go func() {
		if body, ok := ask(next, server.Address(), silentKind, time.Second); ok {
			answered <- body
		}
		close(answered)
	}()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	if body, ok := <-answered; ok {
		t.Errorf("the next process's query got a reply %q", body)
	}
}

// readdressed is a connection whose datagrams appear to come from another port.
type readdressed struct{ graniteknot.PacketConn }

// ReadFromUDPAddrPort implements graniteknot.PacketConn.
func (r readdressed) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	n, from, err := r.PacketConn.ReadFromUDPAddrPort(b)
	return n, netip.AddrPortFrom(from.Addr(), from.Port()^1), err
}

// TestReplyOfAnotherProcessIsDropped guards against a reply of a process that was not asked.
func TestReplyOfAnotherProcessIsDropped(t *testing.T) {
	server := listen(t)
	server.HandleQueries(func(context.Context, presence.QueryKind, []byte) ([]byte, error) { return []byte("reply"), nil })
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	client := presence.NewSocket(readdressed{conn}, "box", 1, nil, func(*presence.Message) {})
	defer client.Close()
	if body, ok := ask(client, server.Address(), blockedKind, 300*time.Millisecond); ok {
		t.Errorf("got %q from a process that was not asked", body)
	}
}
