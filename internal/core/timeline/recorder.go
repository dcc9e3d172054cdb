package timeline

import (
	"sync"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
)

// DefaultCapacity is how many events a Recorder keeps when told nothing else.
const DefaultCapacity = 8192

// Event is what happened; the Recorder adds when, where and to whom.
type Event struct {
	Kind    Kind
	Request graniteknot.RequestID
	Attempt graniteknot.Attempt
	Offset  graniteknot.Offset
	Detail  string
}

// Recorder keeps the most recent events of one process. The zero value works.
type Recorder struct {
	// Box, Partner and Role are written into every event.
	Box     graniteknot.BoxName
	Partner graniteknot.Partner
	Role    string
	// Capacity bounds the events kept; DefaultCapacity when zero.
	Capacity int
	// Clock orders the events.
	Clock Clock

	mu sync.Mutex
	// ring holds at most Capacity events; next is where the oldest stands
	// once it is full.
	ring []*wire.Event
	next int
}

// Add records an event.
func (r *Recorder) Add(e Event) {
	w := &wire.Event{
		Box: string(r.Box), Partner: string(r.Partner), Role: r.Role, Kind: string(e.Kind),
		Request: string(e.Request), Attempt: uint32(e.Attempt), Offset: int64(e.Offset), Detail: e.Detail,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Clock = uint64(r.Clock.Now())
	if len(r.ring) < r.capacity() {
		r.ring = append(r.ring, w)
		return
	}
	r.ring[r.next] = w
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the events kept, oldest first; those of one request when it
// is not empty.
func (r *Recorder) Events(request graniteknot.RequestID) []*wire.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if request == "" || e.GetRequest() == string(request) {
			out = append(out, e)
		}
	}
	return out
}

func (r *Recorder) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return DefaultCapacity
}
