package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/quota"
)

func limitFeedback(rate quota.Rate) fleet.Feedback {
	return fleet.Feedback{Limit: quota.StatedLimit{Present: true, Rate: rate}}
}

// TestOnlyLaterResponsesClearLimit has responses overtake one another: one without a limit
// clears the limit only if its request was sent after the limit was announced, and then in
// all gateways.
func TestOnlyLaterResponsesClearLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("a")
		table.NotifyOutbox(1, func() {})
		now := time.Now()
		first := table.Pick(&fleet.Query{Service: plainService, Now: now})
		second := table.Pick(&fleet.Query{Service: plainService, Now: now})
		if !first.ApplyFeedback(limitFeedback(2), now) || first.ApplyFeedback(limitFeedback(2), now) {
			t.Error("only the first announcement of a limit is a change")
		}
		notices, _ := table.DrainOutbox(now)
		if len(notices) != 1 || !notices[0].Holds || notices[0].Rate != 2 {
			t.Errorf("notices %+v", notices)
		}
		if second.ApplyFeedback(fleet.Feedback{Unlimited: true}, now.Add(time.Millisecond)) || len(table.Limits(now)) != 1 {
			t.Error("a response to a request sent before the limit was announced clears it")
		}
		life := first.Replica.Life()
		if table.ApplyNotice(&quota.Notice{Key: quota.KeyOf(life), Age: 50}, now.Add(10*time.Millisecond)) {
			t.Error("an older notice clears it")
		}
		if !table.ApplyNotice(&quota.Notice{Key: quota.KeyOf(life), Age: 5}, now.Add(10*time.Millisecond)) || len(table.Limits(now)) != 0 {
			t.Error("a newer notice does not clear it")
		}
	})
}

// TestLimitBelongsToLife checks that a limit ends with its life, which had a heartbeat since
// it announced the limit: the next life with the same ID is unlimited.
func TestLimitBelongsToLife(t *testing.T) {
	now := time.Now()
	table := newTable("a")
	l := table.Pick(&fleet.Query{Service: plainService, Now: now})
	l.ApplyFeedback(limitFeedback(0), now)
	l.End(fleet.VerdictGood, now)
	if table.Pick(&fleet.Query{Service: plainService, Now: now}) != nil {
		t.Error("a replica with limit 0 was chosen")
	}
	next := l.Replica
	next.Written++
	table.Put(next, now.Add(time.Second))
	now = now.Add(2 * time.Second)
	next.Born, next.Written = 9, next.Written+1
	table.Put(next, now)
	for range 3 {
		if got := table.Pick(&fleet.Query{Service: plainService, Now: now}); got == nil || got.Replica.Born != 9 {
			t.Error("the next life is not chosen")
		}
	}
	table.Put(catalog.Replica{ID: "b", Service: "s", Address: "b"}, now)
	table.Remove("b")
	if table.ApplyNotice(&quota.Notice{Key: quota.KeyOf(catalog.Life{ID: "b"}), Holds: true, Rate: 1}, now); len(table.Limits(now)) != 2 {
		t.Error("the limit of a life without a record was dropped")
	}
}

// TestPermitsExpire checks that a table that grants its own permits does so at the limit's
// rate and saves none up.
func TestPermitsExpire(t *testing.T) {
	began := time.Now()
	table := newTable("a")
	l := table.Pick(&fleet.Query{Service: plainService, Now: began})
	l.ApplyFeedback(limitFeedback(1), began)
	sent := 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		if at > 8*time.Second && at < 12*time.Second {
			continue
		}
		if x := table.Pick(&fleet.Query{Service: plainService, Now: began.Add(at)}); x != nil {
			sent++
			x.End(fleet.VerdictGood, began.Add(at))
		}
	}
	if sent < 12 || sent > 18 {
		t.Errorf("%d requests in 16 of 20 s at 1 a second", sent)
	}
}
