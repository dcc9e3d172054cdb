package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quota"
)

func named(rate quota.Rate) fleet.Feedback {
	return fleet.Feedback{Limit: quota.Word{Named: true, Rate: rate}}
}

// TestLimitEndsByLaterAnswersOnly has answers pass one another: one without a limit whose
// request was sent before the limit was named ends nothing, a later one does, for all.
func TestLimitEndsByLaterAnswersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := with("a")
		table.NotifyOutbox(1, func() {})
		now := time.Now()
		first := table.Pick(&fleet.Query{Service: plain, Now: now})
		second := table.Pick(&fleet.Query{Service: plain, Now: now})
		if !first.ApplyFeedback(named(2), now) || first.ApplyFeedback(named(2), now) {
			t.Error("only the first word of a limit is new")
		}
		told, _ := table.DrainOutbox(now)
		if len(told) != 1 || !told[0].Holds || told[0].Rate != 2 {
			t.Errorf("told %+v", told)
		}
		if second.ApplyFeedback(fleet.Feedback{Unlimited: true}, now.Add(time.Millisecond)) || len(table.Limits(now)) != 1 {
			t.Error("an answer from before the limit was named ends it")
		}
		life := first.Replica.Life()
		if table.ApplyNotice(&quota.Told{Key: quota.KeyOf(life), Age: 50}, now.Add(10*time.Millisecond)) {
			t.Error("what another process heard before ends it")
		}
		if !table.ApplyNotice(&quota.Told{Key: quota.KeyOf(life), Age: 5}, now.Add(10*time.Millisecond)) || len(table.Limits(now)) != 0 {
			t.Error("what another process heard later does not end it")
		}
	})
}

// TestLimitIsOfTheLife ends with the life, which wrote its record once more since it named the
// limit: the next one under the same id has none.
func TestLimitIsOfTheLife(t *testing.T) {
	now := time.Now()
	table := with("a")
	l := table.Pick(&fleet.Query{Service: plain, Now: now})
	l.ApplyFeedback(named(0), now)
	l.End(fleet.VerdictGood, now)
	if table.Pick(&fleet.Query{Service: plain, Now: now}) != nil {
		t.Error("a replica that takes nothing is chosen")
	}
	next := l.Replica
	next.Written++
	table.Put(next, now.Add(time.Second))
	now = now.Add(2 * time.Second)
	next.Born, next.Written = 9, next.Written+1
	table.Put(next, now)
	for range 3 {
		if got := table.Pick(&fleet.Query{Service: plain, Now: now}); got == nil || got.Replica.Born != 9 {
			t.Error("the next life is not chosen")
		}
	}
	table.Put(catalog.Replica{ID: "b", Service: "s", Address: "b"}, now)
	table.Remove("b")
	if table.ApplyNotice(&quota.Told{Key: quota.KeyOf(catalog.Life{ID: "b"}), Holds: true, Rate: 1}, now); len(table.Limits(now)) != 2 {
		t.Error("the limit of a life whose record is gone is forgotten")
	}
}

// TestPermitsLapse gives a table that asks nobody its own permits, at the rate, which it does not
// save up.
func TestPermitsLapse(t *testing.T) {
	began := time.Now()
	table := with("a")
	l := table.Pick(&fleet.Query{Service: plain, Now: began})
	l.ApplyFeedback(named(1), began)
	sent := 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		if at > 8*time.Second && at < 12*time.Second {
			continue
		}
		if x := table.Pick(&fleet.Query{Service: plain, Now: began.Add(at)}); x != nil {
			sent++
			x.End(fleet.VerdictGood, began.Add(at))
		}
	}
	if sent < 12 || sent > 18 {
		t.Errorf("%d requests in 16 of 20 s at 1 a second", sent)
	}
}
