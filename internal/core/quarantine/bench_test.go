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
