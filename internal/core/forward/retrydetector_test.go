package forward_test

import (
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/forward"
)

// TestRetryDetector checks that retries are told from first tries by their timeout, for each
// route separately.
func TestRetryDetector(t *testing.T) {
	var r forward.RetryDetector
	now := time.Now()
	sinceFirstTry := func(route string, timeout time.Duration) time.Duration {
		request := &forward.Request{ReceivedAt: now}
		if timeout > 0 {
			request.Deadline = now.Add(timeout)
		}
		return r.SinceFirstTry(&catalog.Route{Name: route}, request)
	}
	for _, x := range []struct {
		route         string
		timeout, want time.Duration
	}{
		{"reading", 8 * time.Second, 0},
		// Clients set different timeouts on their first try.
		{"reading", 7 * time.Second, 0},
		{"reading", 6500 * time.Millisecond, 0},
		{"reading", 5 * time.Second, 1800 * time.Millisecond},
		{"reading", 0, 0},
		{"lookup", time.Second, 0},
		{"lookup", 400 * time.Millisecond, 450 * time.Millisecond},
		// The first request seen on a route is a retry: retries are detected once a first try
		// has been seen.
		{"slow", 2 * time.Second, 0},
		{"slow", 10 * time.Second, 0},
		{"slow", 2 * time.Second, 6500 * time.Millisecond},
	} {
		if got := sinceFirstTry(x.route, x.timeout); got != x.want {
			t.Errorf("%s with a timeout of %v: first tried %v ago, want %v", x.route, x.timeout, got, x.want)
		}
	}
}
