package quarantine_test

import (
	"fmt"
	"testing"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// TestInventedPartsAreBounded guards against callers that invent parts: many answered requests
// with a part each, and others that crash replicas, must neither grow the table nor make it forget
// a quarantined part or that a common one is served.
func TestInventedPartsAreBounded(t *testing.T) {
	r := newRecorder()
	for range 3 {
		r.crash([]string{"bad"})
	}
	survivals, crashes := 1_000_000, 5000
	if testing.Short() {
		survivals, crashes = 50_000, 500
	}
	for i := range survivals {
		r.RecordSurvival([]quarantine.Key{{byte(i), byte(i >> 8), byte(i >> 16)}}, r.now)
		if i%1000 == 0 {
			r.survive("common")
		}
	}
	for i := range crashes {
		invented := make([]string, 0, 4)
		for n := range cap(invented) {
			invented = append(invented, fmt.Sprint("invented", i, n))
		}
		r.RecordSubjectCrash(subject("x", invented...), catalog.Mark(100+i), false, r.now)
	}
	if n := len(r.Entries(r.now)); n > 1024 || !r.blocks("bad") {
		t.Errorf("%d entries, the part is blocked: %v", n, r.blocks("bad"))
	}
	for range 4 {
		r.crash([]string{"common"})
	}
	if r.blocks("common") {
		t.Error("a common part is blocked after four crashes")
	}
}
