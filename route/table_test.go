package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/route"
)

func largeTable(n int) (*route.Table, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	t := &route.Table{Policy: route.LeastLatency{}, Rand: rand.New(rand.NewPCG(1, 1))}
	var addresses []graniteknot.Address
	for i := range n {
		addresses = append(addresses, graniteknot.Address(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)))
	}
	t.SetTargets(addresses, now)
	for i, a := range addresses {
		t.UpdateLoad(a, route.Load{Incarnation: 1, Slots: 16, Running: i % 16, Service: time.Second}, now)
	}
	return t, now
}

// TestChoiceAllocatesNothing bounds a choice among 820 targets.
func TestChoiceAllocatesNothing(t *testing.T) {
	table, now := largeTable(820)
	q := &route.Query{Prefixes: []uint64{1, 2, 3}, Now: now}
	run := func() {
		c, _ := table.Choose(q)
		table.Done(c.Address, route.ResultAnswered, now)
	}
	for range 2000 {
		run()
	}
	if allocs := testing.AllocsPerRun(1000, run); allocs > 0 {
		t.Errorf("%.1f allocations", allocs)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 100, 820} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, now := largeTable(n)
			q := &route.Query{Prefixes: []uint64{1, 2, 3}, Now: now}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := table.Choose(q)
				table.Done(c.Address, route.ResultAnswered, now)
			}
		})
	}
}

// TestEjection: a failing target is taken out, probed by one request, and
// taken in again; when all fail, all are tried.
func TestEjection(t *testing.T) {
	table, now := largeTable(2)
	bad := graniteknot.Address("10.0.0.0:80")
	for range 3 {
		table.Done(bad, route.ResultFailed, now)
	}
	for range 50 {
		if c, ok := table.Choose(&route.Query{Now: now}); !ok || c.Address == bad {
			t.Fatalf("chose %v %v", c, ok)
		}
	}
	later := now.Add(2 * time.Second)
	probes := 0
	for range 200 {
		if c, _ := table.Choose(&route.Query{Now: later}); c.Address == bad {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d probes at once", probes)
	}
	table.Done(bad, route.ResultAnswered, later)
	for range 200 {
		if c, _ := table.Choose(&route.Query{Now: later}); c.Address == bad {
			probes++
		}
	}
	if probes < 2 {
		t.Error("a target that is well again got nothing")
	}
	for _, a := range table.Addresses() {
		for range 3 {
			table.Done(a, route.ResultFailed, later)
		}
	}
	if _, ok := table.Choose(&route.Query{Now: later}); !ok {
		t.Error("all targets were ejected")
	}
}

// TestLeavingGetsNothing: word of leaving stops new work at once, from the
// agent or from others.
func TestLeavingGetsNothing(t *testing.T) {
	table, now := largeTable(3)
	table.SetStatus("10.0.0.0:80", route.TargetStatus{Leaving: true})
	table.UpdateLoad("10.0.0.1:80", route.Load{Incarnation: 1, Leaving: true}, now)
	for range 100 {
		if c, ok := table.Choose(&route.Query{Now: now}); !ok || c.Address != "10.0.0.2:80" {
			t.Fatalf("chose %v %v", c, ok)
		}
	}
}

// TestAnotherLife: a report of a former life is not taken for the present one.
func TestAnotherLife(t *testing.T) {
	table, now := largeTable(1)
	a := graniteknot.Address("10.0.0.0:80")
	table.UpdateLoad(a, route.Load{Incarnation: 5}, now)
	table.UpdateLoad(a, route.Load{Incarnation: 4, Leaving: true}, now)
	if _, ok := table.Choose(&route.Query{Now: now}); !ok || table.Incarnation(a) != 5 {
		t.Errorf("incarnation %d", table.Incarnation(a))
	}
}
