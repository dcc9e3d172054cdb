package fleet_test

import (
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/presence"
)

// BenchmarkReports measures what a gateway does for a report of one of 516 engines, in full and
// repeated, and for a sweep of all.
func BenchmarkReports(b *testing.B) {
	const engines = 516
	table := &fleet.Table{}
	var hashes []uint32
	start := time.Now()
	for i := range engines {
		r := replica(catalog.ReplicaID(fmt.Sprint("i-", i)))
		r.Group, r.GroupSize, r.Rank = fmt.Sprint("g", i/129), 129, graniteknot.Rank(i%129)
		table.Put(r, start.Add(-time.Hour))
		hashes = append(hashes, presence.TargetHash(r.Address))
	}
	table.SetGateways(531)
	b.Run("full", func(b *testing.B) {
		for i := range b.N {
			a := graniteknot.Address(fmt.Sprint("i-", i%engines))
			table.Report(a, fleet.Load{Running: 1, Pace: 1, Taken: start.Add(time.Duration(i) * time.Microsecond), Relayed: true})
		}
	})
	b.Run("repeated", func(b *testing.B) {
		for i := range b.N {
			table.RepeatReports(hashes[:100], start.Add(time.Second+time.Duration(i)*time.Microsecond))
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/100, "ns/report")
	})
	b.Run("sweep", func(b *testing.B) {
		for i := range b.N {
			table.Sweep(start.Add(time.Second + time.Duration(i)*time.Microsecond))
		}
	})
	b.Run("pick", func(b *testing.B) {
		for i := range b.N {
			now := start.Add(time.Second + time.Duration(i)*time.Microsecond)
			if l := table.Pick(&fleet.Query{Service: engineService, Now: now}); l != nil {
				l.End(fleet.VerdictGood, now)
			}
		}
	})
}
