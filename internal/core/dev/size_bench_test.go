package dev_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/limit"
	"graniteknot.org/go/member"
	"graniteknot.org/go/route"
)

// grown returns the bytes that make leaves in use, for each of n.
func grown(n int, make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func boxAddress(i int) graniteknot.Address {
	return graniteknot.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250))
}

// BenchmarkStateSizes reports the bytes of one piece of each kind of state, for
// docs/CAPACITY.md.
func BenchmarkStateSizes(b *testing.B) {
	now := time.Now()
	for b.Loop() {
		b.ReportMetric(grown(820, func() any { return fullTable(820, now) }), "B/target")
		b.ReportMetric(grown(1190, func() any { return fullView(1190, now) }), "B/member")
		b.ReportMetric(grown(26000, func() any { return fullAccounts(26000, now) }), "B/account")
		b.ReportMetric(grown(100000, func() any { return fullClaims(100000, now) }), "B/claim")
		b.ReportMetric(grown(timeline.DefaultCapacity, fullTimeline), "B/event")
	}
}

func fullTable(n int, now time.Time) *route.Table {
	table := &route.Table{Policy: route.LeastLatency{}}
	var addresses []graniteknot.Address
	for i := range n {
		addresses = append(addresses, boxAddress(i))
	}
	table.SetTargets(addresses, now)
	for i, a := range addresses {
		load := route.Load{Incarnation: 1, Slots: 16}
		for p := range 32 {
			load.Prefixes = append(load.Prefixes, uint64(i*32+p+1))
		}
		table.UpdateLoad(a, load, now)
	}
	return table
}

func fullView(n int, now time.Time) *member.View {
	v := &member.View{}
	for i := range n {
		v.Merge([]member.Member{{Address: boxAddress(i), Incarnation: 1, Zone: "z", Box: "b", Role: member.RoleAgent}}, now)
	}
	return v
}

func fullAccounts(n int, now time.Time) *limit.Accounts {
	t := &limit.Accounts{}
	for i := range n {
		t.Get(limit.AccountName{Partner: "p", Account: graniteknot.Account(fmt.Sprintf("account-%05d", i))}, now)
	}
	return t
}

func fullClaims(n int, now time.Time) *claim.Table {
	t := &claim.Table{Incarnation: graniteknot.NewIncarnation(now.Add(-time.Hour))}
	for i := range n {
		id := claim.NewID("p", "a", "s", graniteknot.Key(fmt.Sprint(i)))
		t.Admit(now, claim.Request{ID: id, Incarnation: t.Incarnation, KeyTime: now})
	}
	return t
}

func fullTimeline() any {
	r := &timeline.Recorder{Box: "box", Partner: "p", Role: "entry"}
	for i := range timeline.DefaultCapacity {
		id := graniteknot.RequestID(fmt.Sprintf("%024d", i))
		r.Add(timeline.Event{Kind: timeline.KindReceived, Request: id, Detail: "herbarium/station-1 label-reading"})
	}
	return r
}
