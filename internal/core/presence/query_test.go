package presence_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// listen opens a socket on the loopback interface.
func listen(t *testing.T) *presence.Socket {
	t.Helper()
	s, err := presence.Listen(context.Background(), "127.0.0.1:0", "box", 1, nil, func(*presence.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func TestAsk(t *testing.T) {
	client, server := listen(t), listen(t)
	server.HandleQueries(func(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
		switch kind {
		case 1:
			return append([]byte("got "), body...), nil
		case 2:
			return make([]byte, presence.MaxBodyBytes+1), nil
		}
		return nil, errors.New("unknown query kind")
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	// Loopback may drop a datagram too, though rarely.
	ask := func(kind presence.QueryKind, body string) (string, error) {
		for {
			attempt, stop := context.WithTimeout(ctx, time.Second)
			got, err := client.Ask(attempt, server.Address(), kind, []byte(body))
			lost := attempt.Err() != nil && ctx.Err() == nil
			stop()
			if !lost {
				return string(got), err
			}
		}
	}
	if got, err := ask(1, "this"); err != nil || got != "got this" {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := ask(2, ""); !errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("oversized reply: %v", err)
	}
	if _, err := ask(3, ""); err == nil || errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("unknown kind: %v", err)
	}
	if _, err := ask(1, string(make([]byte, presence.MaxBodyBytes+1))); !errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("oversized query: %v", err)
	}
	silent := listen(t)
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	if _, err := client.Ask(short, silent.Address(), 1, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("process that does not reply: %v", err)
	}
}
