package forward_test

import (
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
)

// TestReturnsAreKnown tells a caller that comes back from one that begins by the time that
// it has left, each route for itself.
func TestReturnsAreKnown(t *testing.T) {
	var r forward.RetryDetector
	now := time.Now()
	since := func(route string, left time.Duration) time.Duration {
		request := &forward.Request{ReceivedAt: now}
		if left > 0 {
			request.Deadline = now.Add(left)
		}
		return r.SinceFirstTry(&catalog.Route{Name: route}, request)
	}
	for _, x := range []struct {
		route      string
		left, want time.Duration
	}{
		{"reading", 8 * time.Second, 0},
		// Callers state different times on their first try.
		{"reading", 7 * time.Second, 0},
		{"reading", 6500 * time.Millisecond, 0},
		{"reading", 5 * time.Second, 1800 * time.Millisecond},
		{"reading", 0, 0},
		{"lookup", time.Second, 0},
		{"lookup", 400 * time.Millisecond, 450 * time.Millisecond},
		// The first that is seen of a route comes back itself: it is known once one
		// that begins has been seen.
		{"slow", 2 * time.Second, 0},
		{"slow", 10 * time.Second, 0},
		{"slow", 2 * time.Second, 6500 * time.Millisecond},
	} {
		if got := since(x.route, x.left); got != x.want {
			t.Errorf("%s with %v left: first tried %v ago, want %v", x.route, x.left, got, x.want)
		}
	}
}
