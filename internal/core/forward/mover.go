package forward

import (
	"sync"

	"graniteknot.org/go/internal/core/conns"
)

// mover breaks an attempt off from outside, unless the attempt has ended: its
// connection may then carry another request.
type mover struct {
	mu sync.Mutex
	// conn is the attempt's; nil once the attempt has ended.
	conn  *conns.Conn
	moved bool
}

// move breaks the attempt off.
func (m *mover) move() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn == nil {
		return
	}
	m.moved = true
	m.conn.Abort()
}

// end notes the attempt's end, and returns whether it was broken off.
func (m *mover) end() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conn = nil
	return m.moved
}

// movable tells whether the present attempt may be made elsewhere instead.
func (r *run) movable() bool {
	return r.job.Route.Repeats() && r.result.Attempts < r.job.Route.Attempts
}

// moveIfAllowed breaks the attempt off if another one would be allowed.
func (r *run) moveIfAllowed() {
	if r.f.RetryBudgets.Available(r.job.Service.Name) {
		r.move.move()
	}
}
