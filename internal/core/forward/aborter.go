package forward

import (
	"sync"

	"graniteknot.org/go/internal/core/conns"
)

// attemptAborter aborts an attempt from another goroutine. Once the attempt has ended it does
// nothing, as the connection may then carry another request.
type attemptAborter struct {
	mu sync.Mutex
	// conn is the attempt's connection; nil once the attempt has ended.
	conn    *conns.Conn
	aborted bool
}

// abort aborts the attempt by closing its connection.
func (a *attemptAborter) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return
	}
	a.aborted = true
	a.conn.Abort()
}

// finish marks the attempt as ended and reports whether it was aborted.
func (a *attemptAborter) finish() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.aborted
}

// canRetryElsewhere reports whether the route allows to repeat the current attempt on another
// replica.
func (r *inflightRequest) canRetryElsewhere() bool {
	return r.request.Route.Repeats() && r.result.Attempts < r.request.Route.Attempts
}

// abortIfRetryAvailable aborts the attempt if the retry budget allows another one.
func (r *inflightRequest) abortIfRetryAvailable() {
	if r.f.RetryBudgets.Available(r.request.Service.Name) {
		r.aborter.abort()
	}
}
