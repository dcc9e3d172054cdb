package forward

import (
	"sync"
	"time"

	"graniteknot.org/go/catalog"
)

const (
	// statedLeast is the least part of the longest wait of its route that a caller states
	// on its first try.
	statedLeast = 0.85
	// returnedBelow is the part below which a caller counts as coming back: it has
	// waited for as long as callers are told to who were refused for want of room.
	returnedBelow = 0.80
	// mostRoutes bounds the routes that are remembered; beyond it all are learned anew.
	mostRoutes = 4096
)

// RetryDetector knows which callers come back. A caller states how long it will wait, on a later
// try so much less as has passed since the first. Who comes back has waited already, and
// mostly has no other try left. One that comes back soon looks like one that begins. The zero
// value takes each route's first caller for one that begins.
type RetryDetector struct {
	mu sync.Mutex
	// longest is the longest wait that a caller of a route stated.
	longest map[string]time.Duration
}

// SinceFirstTry returns how long ago at least a request's caller first tried; 0 where it may be its
// first try, or it states no deadline.
func (r *RetryDetector) SinceFirstTry(route *catalog.Route, request *Request) time.Duration {
	if request.Deadline.IsZero() {
		return 0
	}
	left := request.Deadline.Sub(request.ReceivedAt)
	longest := float64(r.learn(route.Name, left))
	if float64(left) >= returnedBelow*longest {
		return 0
	}
	return time.Duration(statedLeast*longest) - left
}

// learn takes in what a caller stated and returns the longest of its route.
func (r *RetryDetector) learn(route string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) > mostRoutes {
		r.longest = map[string]time.Duration{}
	}
	r.longest[route] = max(r.longest[route], left)
	return r.longest[route]
}
