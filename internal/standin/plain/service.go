// Package plain stands in for a plain service beside the engines: a catalogue
// of sheets, a wire of notices. It knows nothing of keys, and counts how often
// each item was entered, so that a doubled run shows.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const maxBody = 64 << 20

// Service is the service. The zero value works.
type Service struct {
	// Delay is how long each call takes.
	Delay time.Duration

	mu sync.Mutex
	// runs counts the calls with each body.
	runs map[uint64]int
}

// Answer is the answer to a call.
func Answer(method, path string, body []byte) string {
	return fmt.Sprintf("%s %s %016x\n", method, path, xxhash.Sum64(body))
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body is too large or cut off", http.StatusBadRequest)
		return
	}
	s.enter(body)
	timer := time.NewTimer(s.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	_, _ = io.WriteString(w, Answer(r.Method, r.URL.Path, body))
}

func (s *Service) enter(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = map[uint64]int{}
	}
	s.runs[xxhash.Sum64(body)]++
}

// Runs returns how often a body was entered.
func (s *Service) Runs(body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[xxhash.Sum64(body)]
}
