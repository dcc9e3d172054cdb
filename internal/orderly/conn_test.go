package orderly_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/orderly"
)

// patience is longer than any of these tests takes.
const patience = 20 * time.Second

// pair returns both ends of a connection, the near one as a Conn.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = orderly.New(dialed), accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	_, _ = near.SetDeadline(time.Now().Add(patience)), far.SetDeadline(time.Now().Add(patience))
	return near, far
}

// writeUntilBroken writes until a write finds the connection broken.
func writeUntilBroken(t *testing.T, c net.Conn) {
	t.Helper()
	for {
		if _, err := c.Write(make([]byte, 1<<10)); err != nil {
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Fatal(err)
			}
			return
		}
	}
}

// TestReadTellsWhatAWriteFound guards against a broken connection that reads as an ended one, since a write was told of the break.
func TestReadTellsWhatAWriteFound(t *testing.T) {
	near, far := pair(t)
	if _, err := io.WriteString(far, "half"); err != nil {
		t.Fatal(err)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	writeUntilBroken(t, near)
	for range 2 {
		if got, err := io.ReadAll(near); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// TestReadWaitsForAWriteInProgress guards against the same while the write that was told has not returned.
func TestReadWaitsForAWriteInProgress(t *testing.T) {
	const plays = 200
	for range plays {
		near, far := pair(t)
		var writer group.Group
		writer.Go(func(context.Context) { _, _ = near.Write(make([]byte, 8<<20)) })
		_, _ = io.WriteString(far, "half")
		_ = far.SetLinger(0)
		_ = far.Close()
		if got, err := io.ReadAll(near); err == nil {
			t.Fatalf("%q ended in order", got)
		}
		writer.Wait()
	}
}

// TestOrderlyEndIsOne guards against an orderly end that is taken for a break.
func TestOrderlyEndIsOne(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn){
		"closed":                  func(far *net.TCPConn) { _ = far.Close() },
		"half-closed":             func(far *net.TCPConn) { _ = far.CloseWrite() },
		"half-closed, then reset": func(far *net.TCPConn) { _, _, _ = far.CloseWrite(), far.SetLinger(0), far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			if _, err := io.WriteString(far, "whole"); err != nil {
				t.Fatal(err)
			}
			end(far)
			for _, want := range []string{"whole", ""} {
				if got, err := io.ReadAll(near); string(got) != want || err != nil {
					t.Errorf("%q, %v", got, err)
				}
			}
		})
	}
}
