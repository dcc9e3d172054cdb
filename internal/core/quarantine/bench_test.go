package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// fullTable returns a table with as many entries as it holds, a few of them quarantined.
func fullTable() *quarantine.Table {
	table := &quarantine.Table{}
	for i := range 2000 {
		marks := []catalog.Mark{catalog.Mark(i)}
		if i%200 == 0 {
			marks = []catalog.Mark{catalog.Mark(i), catalog.Mark(i + 1), catalog.Mark(i + 2)}
		}
		table.Merge(&quarantine.Entry{Key: part(fmt.Sprint(i)), Part: true, CrashedReplicas: marks}, start)
	}
	return table
}

// BenchmarkRequest measures what a request with three prompt parts pays: its keys, one check and one
// survival.
func BenchmarkRequest(b *testing.B) {
	for name, table := range map[string]*quarantine.Table{"nothing known": {}, "full table": fullTable()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := &quarantine.Subject{Request: quarantine.KeyOf("/p", "a", []byte("body")), Parts: make([]quarantine.Key, 3)}
				for i := range s.Parts {
					s.Parts[i] = quarantine.KeyOfPart("m", "5c1e07a2", uint32(i))
				}
				if table.BlockedKey(s, start) == nil {
					table.RecordSurvival(s.Parts, start)
				}
			}
		})
	}
}

// BenchmarkCrash measures recording a crash while the table is full.
func BenchmarkCrash(b *testing.B) {
	table := fullTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.RecordSubjectCrash(subject(fmt.Sprint(i), "x", fmt.Sprint("y", i)), catalog.Mark(1<<20+i), false, start.Add(time.Duration(i)*time.Millisecond))
	}
}

// TestInventedPartsAreBounded guards against callers that invent parts: a million answered requests
// with a part each, and thousands that crash replicas, must neither grow the table nor make it forget
// a quarantined part or that a common one is served.
func TestInventedPartsAreBounded(t *testing.T) {
	r := newRecorder()
	for range 3 {
		r.crash([]string{"bad"})
	}
	for i := range 1_000_000 {
		r.RecordSurvival([]quarantine.Key{{byte(i), byte(i >> 8), byte(i >> 16)}}, r.now)
		if i%1000 == 0 {
			r.survive("common")
		}
	}
	for i := range 5000 {
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
