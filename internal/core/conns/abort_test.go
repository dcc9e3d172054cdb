package conns_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/conns"
)

// TestAbortResets aborts a request and checks that its replica sees a reset, which discards what
// the network holds up, and not an orderly end.
func TestAbortResets(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var pool conns.Pool
	conn, err := pool.Get(context.Background(), graniteknot.Address(listener.Addr().String()), 1)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if err := peer.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	conn.Abort()
	if _, err := io.ReadAll(peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the replica reads %v", err)
	}
}
