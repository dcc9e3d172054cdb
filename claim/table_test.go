package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
)

var birth = time.UnixMilli(1_800_000_000_000)

func newTable() *claim.Table {
	return &claim.Table{Incarnation: graniteknot.NewIncarnation(birth)}
}

func id(k string) claim.ID { return claim.NewID("p", "a", "s", graniteknot.Key(k)) }

func after(d time.Duration) time.Time { return birth.Add(d) }

// TestRules goes through what an authority knows of a key it never saw.
func TestRules(t *testing.T) {
	mine, other := graniteknot.NewIncarnation(birth), graniteknot.NewIncarnation(birth.Add(-time.Hour))
	tests := []struct {
		name string
		now  time.Time
		r    claim.Request
		want claim.Verdict
	}{
		{"ticket of this life", after(time.Second), claim.Request{Incarnation: mine, KeyTime: after(0)}, claim.VerdictStart},
		{"ticket of a former life", after(time.Second), claim.Request{Incarnation: other, KeyTime: after(0)}, claim.VerdictMaybe},
		{"ticket older than the window", after(time.Hour), claim.Request{Incarnation: mine, KeyTime: after(0)}, claim.VerdictMaybe},
		{"timed key that a former life could run", after(4 * time.Second), claim.Request{KeyTime: after(3 * time.Second)}, claim.VerdictMaybe},
		{"timed key that none could run", after(4 * time.Second), claim.Request{KeyTime: after(3*time.Second + 1)}, claim.VerdictStart},
		{"timed key from far ahead", after(time.Second), claim.Request{KeyTime: after(time.Minute)}, claim.VerdictMaybe},
		{"plain key at a young agent", after(time.Minute), claim.Request{}, claim.VerdictMaybe},
		{"plain key at an old agent", after(11 * time.Minute), claim.Request{}, claim.VerdictStart},
		{"late copy", after(time.Minute), claim.Request{Repeatable: true, Deadline: after(50 * time.Second)}, claim.VerdictMaybe},
		{"repeatable", after(time.Second), claim.Request{Repeatable: true}, claim.VerdictStart},
		{"repeatable meant for a former life", after(time.Second), claim.Request{Repeatable: true, Incarnation: other}, claim.VerdictMaybe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.r.ID = id("k")
			if got := newTable().Admit(test.now, test.r); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestWithdrawAtANewLife: a new life can't say that a former one never ran a
// request, whether it may be repeated or not. Found by the random histories:
// a repeatable request that a dead agent had half answered was "not-run".
func TestWithdrawAtANewLife(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		r := claim.Request{ID: id("k"), Repeatable: repeatable, KeyTime: after(-time.Second)}
		if got := newTable().Withdraw(after(time.Second), r); got != claim.VerdictMaybe {
			t.Errorf("repeatable %v: got %s", repeatable, got)
		}
	}
}

func TestTombstoneBeatsLateMessage(t *testing.T) {
	table := newTable()
	r := claim.Request{ID: id("k"), Incarnation: table.Incarnation, KeyTime: after(time.Second), Try: 1}
	if got := table.Withdraw(after(2*time.Second), r); got != claim.VerdictNever {
		t.Fatalf("withdraw: %s", got)
	}
	if got := table.Admit(after(3*time.Second), r); got != claim.VerdictNever {
		t.Errorf("late copy: %s", got)
	}
	r.Try = 2
	if got := table.Admit(after(4*time.Second), r); got != claim.VerdictStart {
		t.Errorf("the caller's next try: %s", got)
	}
	if table.Start(r.ID, 1) {
		t.Error("the withdrawn try started in the place of the next one")
	}
	if !table.Start(r.ID, 2) {
		t.Error("the next try did not start")
	}
	r.Try = 1
	if got := table.Withdraw(after(5*time.Second), r); got == claim.VerdictNever {
		t.Error("a running request was said never to run")
	}
}

func TestOneKeyStandsForOneBody(t *testing.T) {
	table := newTable()
	r := claim.Request{ID: id("k"), Incarnation: table.Incarnation, KeyTime: after(0), BodyDigest: 1}
	table.Admit(after(time.Second), r)
	r.BodyDigest = 2
	if got := table.Admit(after(time.Second), r); got != claim.VerdictMismatch {
		t.Errorf("got %s", got)
	}
}

// TestFullTableRefusesAndNeverForgets fills a table past its limit.
func TestFullTableRefusesAndNeverForgets(t *testing.T) {
	table := newTable()
	table.MaxRecords = 8
	verdicts := map[claim.Verdict]int{}
	request := func(i int) claim.Request {
		return claim.Request{ID: id(fmt.Sprint(i)), Incarnation: table.Incarnation, KeyTime: after(0)}
	}
	for i := range 20 {
		verdicts[table.Admit(after(time.Second), request(i))]++
	}
	if verdicts[claim.VerdictStart] != 8 || verdicts[claim.VerdictNever] != 2 || verdicts[claim.VerdictMaybe] != 10 {
		t.Errorf("verdicts: %v", verdicts)
	}
	for i := range 8 {
		if got := table.Admit(after(2*time.Second), request(i)); got != claim.VerdictJoin {
			t.Errorf("request %d was forgotten: %s", i, got)
		}
	}
	for i := 8; i < 10; i++ {
		if got := table.Admit(after(2*time.Second), request(i)); got != claim.VerdictNever {
			t.Errorf("refused request %d: %s", i, got)
		}
	}
}

// TestTimedKeysStartOnce replays random schedules of keys over several lives,
// hours of time, and forgetting.
func TestTimedKeysStartOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := birth
		table := newTable()
		started := map[string]bool{}
		never := map[string]bool{}
		times := map[string]time.Time{}
		for range 60 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(rt, "pass")))
			if rapid.IntRange(0, 9).Draw(rt, "die") == 0 {
				table = &claim.Table{Incarnation: graniteknot.NewIncarnation(now)}
			}
			key := fmt.Sprint(rapid.IntRange(0, 12).Draw(rt, "key"))
			if times[key].IsZero() {
				ahead := time.Duration(rapid.Int64Range(int64(-time.Minute), int64(time.Minute)).Draw(rt, "clock"))
				times[key] = now.Add(ahead)
			}
			r := claim.Request{ID: id(key), KeyTime: times[key], Try: 1}
			if rapid.Bool().Draw(rt, "withdraw") {
				if table.Withdraw(now, r) == claim.VerdictNever {
					if started[key] {
						rt.Fatalf("key %s ran and was said never to run", key)
					}
					never[key] = true
				}
				continue
			}
			if table.Admit(now, r) == claim.VerdictStart && table.Start(r.ID, 1) {
				if started[key] || never[key] {
					rt.Fatalf("key %s started again, or after it was withdrawn", key)
				}
				started[key] = true
				table.Finish(r.ID, graniteknot.OutcomeAnswered)
			}
		}
	})
}

// TestClaimCost bounds allocations and memory of one claim.
func TestClaimCost(t *testing.T) {
	table := newTable()
	keys := make([]claim.ID, 100_000)
	for i := range keys {
		keys[i] = id(fmt.Sprint(i))
	}
	i := 0
	allocs := testing.AllocsPerRun(len(keys)-2, func() {
		r := claim.Request{ID: keys[i], Incarnation: table.Incarnation, KeyTime: after(0)}
		i++
		table.Admit(after(time.Second), r)
		table.Start(r.ID, 0)
		table.Finish(r.ID, graniteknot.OutcomeAnswered)
	})
	if allocs > 0.5 {
		t.Errorf("%.2f allocations for a claim", allocs)
	}
}

// TestClaimSize bounds the memory that is kept of one claim.
func TestClaimSize(t *testing.T) {
	const n = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := newTable()
	for i := range n {
		r := claim.Request{ID: id(fmt.Sprint(i)), Incarnation: table.Incarnation, KeyTime: birth}
		table.Admit(birth.Add(time.Second), r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := float64(after.HeapAlloc-before.HeapAlloc) / n
	t.Logf("%.0f bytes a claim", size)
	if size > 150 {
		t.Errorf("%.0f bytes a claim", size)
	}
	runtime.KeepAlive(table)
}

func BenchmarkClaim(b *testing.B) {
	table := newTable()
	table.MaxRecords = 1 << 30
	now := after(time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := graniteknot.Key(fmt.Sprint(i))
		r := claim.Request{ID: claim.NewID("p", "a", "s", k), Incarnation: table.Incarnation, KeyTime: now}
		table.Admit(now, r)
		table.Start(r.ID, 0)
		table.Finish(r.ID, graniteknot.OutcomeAnswered)
	}
}

// TestRememberedAsLongAsTaken: what ran is remembered for as long as a copy of
// the message would still be taken, which the deadline and a key from ahead of
// the clock may put off beyond the window.
func TestRememberedAsLongAsTaken(t *testing.T) {
	old := after(time.Hour)
	cases := map[string]struct {
		r    claim.Request
		last time.Time
	}{
		"deadline beyond the window": {claim.Request{Deadline: old.Add(40 * time.Minute)}, old.Add(40 * time.Minute)},
		"key from ahead of the clock": {
			claim.Request{KeyTime: old.Add(29 * time.Second)}, old.Add(claim.DefaultWindow + 28*time.Second),
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			table.MaxClockSkew, table.MaxKeyAhead = time.Millisecond, 30*time.Second
			c.r.ID = id("k")
			if got := table.Admit(old, c.r); got != claim.VerdictStart {
				t.Fatalf("first: %s", got)
			}
			table.Start(c.r.ID, 0)
			table.Finish(c.r.ID, graniteknot.OutcomeAnswered)
			for now := old.Add(time.Second); now.Before(c.last); now = now.Add(200 * time.Millisecond) {
				// Others' requests have the table forget what it may.
				table.Admit(now, claim.Request{ID: id("other"), Repeatable: true})
			}
			if got := table.Admit(c.last, c.r); got != claim.VerdictAnswered {
				t.Errorf("a copy at the last moment: %s", got)
			}
		})
	}
}
