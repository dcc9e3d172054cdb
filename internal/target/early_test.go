package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/target"
)

// runEarly calls a plain service that answers a large request before it has read the body, and returns the answer's body.
func runEarly(t *testing.T, answer string, end func(c *net.TCPConn)) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var service group.Group
	defer service.Wait()
	defer func() { _ = listener.Close() }()
	service.Go(func(context.Context) {
		// The second connection asks whether the service lives on.
		for i := range 2 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if i == 0 {
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+answer)
					end(conn.(*net.TCPConn))
				}
			}
			_ = conn.Close()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	got := ""
	work := graniteknot.Work{Method: http.MethodPost, Path: "/", Body: make([]byte, 4<<20)}
	err = target.NewPlain(graniteknot.Address(listener.Addr().String())).Run(ctx, work, func(p graniteknot.Piece) error {
		got += string(p.Data)
		return nil
	})
	return got, err
}

// TestEarlyAnswerThatIsResetIsNotWhole guards against a part of an answer that passes for a whole one: the service resets the connection while the request's body is still being sent.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			for range 10 {
				got, err := runEarly(t, "half", func(c *net.TCPConn) {
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				if err == nil {
					t.Errorf("%q is whole", got)
				}
			}
		})
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole guards against a sound early answer that is taken for a broken one.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	got, err := runEarly(t, "whole", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	if got != "whole" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}
