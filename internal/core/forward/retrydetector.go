package forward

import (
	"sync"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// minFirstTryShare is the shortest timeout that a client sets on its first try, as a share
	// of the route's longest.
	minFirstTryShare = 0.85
	// retryBelowShare is the share below which a request counts as a retry: its client has
	// waited for as long as clients are told to after a refusal for lack of capacity.
	retryBelowShare = 0.80
	// maxRoutes bounds the stored routes; beyond it, all are learned anew.
	maxRoutes = 4096
)

// RetryDetector recognizes retries by their timeout: a client sets the time that it will wait,
// on a retry less the time since its first try. A client that retries has waited already and
// mostly has no further try left. A quick retry looks like a first try. The zero value takes
// the first request of each route for a first try.
type RetryDetector struct {
	mu sync.Mutex
	// longestTimeout is the longest timeout that a client set, by route.
	longestTimeout map[string]time.Duration
}

// SinceFirstTry returns the least time since a request's client first tried; 0 if this may be
// the first try, or if the request has no deadline.
func (r *RetryDetector) SinceFirstTry(route *catalog.Route, request *Request) time.Duration {
	if request.Deadline.IsZero() {
		return 0
	}
	timeout := request.Deadline.Sub(request.ReceivedAt)
	longest := float64(r.observe(route.Name, timeout))
	if float64(timeout) >= retryBelowShare*longest {
		return 0
	}
	return time.Duration(minFirstTryShare*longest) - timeout
}

// observe records a timeout and returns the longest of the route.
func (r *RetryDetector) observe(route string, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longestTimeout == nil || len(r.longestTimeout) > maxRoutes {
		r.longestTimeout = map[string]time.Duration{}
	}
	r.longestTimeout[route] = max(r.longestTimeout[route], timeout)
	return r.longestTimeout[route]
}
