package graceful_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/graceful"
)

// TestForwardBy guards against requests that are forwarded late in a shutdown and aborted at its end.
func TestForwardBy(t *testing.T) {
	began := time.Unix(1000, 0)
	s := graceful.Schedule{Began: began, Bound: 8 * time.Second}
	const early, aborted = 3 * time.Second, 7300 * time.Millisecond
	if got := s.AbortAt().Sub(began); got != aborted {
		t.Errorf("aborts after %v", got)
	}
	for name, c := range map[string]struct{ respondBy, want time.Duration }{
		"sure to end":             {5 * time.Second, 5 * time.Second},
		"ends with the abort":     {aborted, aborted},
		"may last longer":         {aborted + time.Millisecond, early},
		"may last much longer":    {time.Hour, early},
		"is answered in the past": {-time.Second, -time.Second},
	} {
		if got := s.ForwardBy(began.Add(c.respondBy)).Sub(began); got != c.want {
			t.Errorf("%s: until %v", name, got)
		}
	}
	if got := s.ForwardBy(time.Time{}).Sub(began); got != early {
		t.Errorf("without a deadline: until %v", got)
	}
}
