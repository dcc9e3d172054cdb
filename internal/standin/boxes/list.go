// Package boxes stands in for the platform's list of live and leaving boxes,
// which shows each change only after a lag.
package boxes

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/services"
)

// List is the list. The zero value is empty and shows changes at once.
type List struct {
	// Lag is how late a change shows.
	Lag time.Duration
	// Now is time.Now when nil.
	Now graniteknot.Clock

	mu sync.Mutex
	// versions are in the order in which they were set.
	versions []version
}

type version struct {
	since time.Time
	boxes []graniteknot.Box
}

// Set replaces the list.
func (l *List) Set(boxes []graniteknot.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{since: l.now(), boxes: append([]graniteknot.Box(nil), boxes...)})
}

// Boxes implements graniteknot.BoxList.
func (l *List) Boxes(context.Context) ([]graniteknot.Box, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := l.now().Add(-l.Lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(shown) {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 {
		return nil, nil
	}
	return l.versions[0].boxes, nil
}

// Handler serves the list over the platform's protocol.
func (l *List) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		boxes, err := l.Boxes(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		answer := make([]services.Box, len(boxes))
		for i, b := range boxes {
			answer[i] = services.Box{Name: b.Name, Zone: b.Zone, Address: b.Address, State: "live"}
			if b.State == graniteknot.BoxLeaving {
				answer[i].State = services.StateLeaving
			}
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}

func (l *List) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}
