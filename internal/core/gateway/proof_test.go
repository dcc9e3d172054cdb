package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestNoProofIsNewerThanTheLastRead has the store go silent for all gateways: whatever these prove
// to each other from then on is as old as what they had read.
func TestNoProofIsNewerThanTheLastRead(t *testing.T) {
	for _, boxes := range []int{3, 13} {
		synctest.Test(t, func(t *testing.T) {
			f := newVirtualFleet(t, boxes, nil)
			defer f.stop()
			time.Sleep(5 * time.Second)
			for _, b := range f.boxes {
				b.way.set(accessSilent)
			}
			silent := time.Now()
			for range 60 {
				time.Sleep(100 * time.Millisecond)
				for _, b := range f.boxes {
					if _, age := b.Catalog.Current(b.Clock.Now()); age < time.Since(silent) {
						t.Fatalf("%s has a proof of %v ago, %v after the store went silent", b.config.Box, age, time.Since(silent))
					}
				}
			}
		})
	}
}
