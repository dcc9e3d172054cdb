package presence_test

import (
	"testing"
	"time"

	"graniteknot.org/go/internal/core/presence"
)

// TestDigestPeriod bounds how many digests one sidecar sends in a second, and how old
// what a gateway knows may become.
func TestDigestPeriod(t *testing.T) {
	for gateways, want := range map[int]time.Duration{
		0: 120 * time.Millisecond, 6: 120 * time.Millisecond, 12: 120 * time.Millisecond,
		32: 320 * time.Millisecond, 40: 400 * time.Millisecond, 370: 400 * time.Millisecond,
	} {
		if got := presence.ReportInterval(gateways); got != want {
			t.Errorf("%d gateways: %v, want %v", gateways, got, want)
		}
	}
}
