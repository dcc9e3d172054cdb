package presence_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// listen opens a socket on loopback.
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
	asker, asked := listen(t), listen(t)
	asked.HandleQueries(func(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
		switch kind {
		case 1:
			return append([]byte("got "), body...), nil
		case 2:
			return make([]byte, presence.MaxBodyBytes+1), nil
		}
		return nil, errors.New("no such question")
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	// A datagram may be lost on loopback too, if hardly ever.
	ask := func(kind presence.QueryKind, body string) (string, error) {
		for {
			short, stop := context.WithTimeout(ctx, time.Second)
			got, err := asker.Ask(short, asked.Address(), kind, []byte(body))
			lost := short.Err() != nil && ctx.Err() == nil
			stop()
			if !lost {
				return string(got), err
			}
		}
	}
	if got, err := ask(1, "this"); err != nil || got != "got this" {
		t.Errorf("%q, %v", got, err)
	}
	if _, err := ask(2, ""); !errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("a large answer: %v", err)
	}
	if _, err := ask(3, ""); err == nil || errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("an unknown kind: %v", err)
	}
	if _, err := ask(1, string(make([]byte, presence.MaxBodyBytes+1))); !errors.Is(err, presence.ErrTooLarge) {
		t.Errorf("a large question: %v", err)
	}
	silent := listen(t)
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	if _, err := asker.Ask(short, silent.Address(), 1, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a process that does not answer: %v", err)
	}
}
