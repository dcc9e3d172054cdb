package ranks

import (
	"time"

	"graniteknot.org/go/expertmap/held"
)

// knowledge is what a coordinator knows of one rank: its last report, and the orders that it
// carried out since that was read. Reports and answers arrive in any order. The zero value knows
// nothing.
type knowledge struct {
	// report was read at some time between began and ended.
	report       snapshot
	began, ended time.Time
	// arm, hold and release are the answered orders for the latest steps.
	arm, hold, release answeredOrder
}

// verdict is what became of a report or an answer.
type verdict uint8

const (
	// verdictKept reports and answers are the newest.
	verdictKept verdict = iota
	// verdictOlder ones are older than what is known.
	verdictOlder
	// verdictInvalid reports can't follow the one before: the step goes back.
	verdictInvalid
)

// answeredOrder is an order that was carried out at some time before the answer arrived.
type answeredOrder struct {
	held.Order
	answered time.Time
}

// addReport stores a report unless a newer one is known. Of two whose reads overlapped, the one that
// shows the later step is newer.
func (k *knowledge) addReport(s snapshot, began, ended time.Time) verdict {
	last := &k.report.state
	overlapped := began.Before(k.ended)
	if overlapped && (isOlder(&s.state, last) || sameStep(&s.state, last) && began.Before(k.began)) {
		return verdictOlder
	}
	if s.state.Epoch == last.Epoch && s.state.Step < last.Step {
		return verdictInvalid
	}
	if s.lists == nil && s.state.Epoch == last.Epoch && s.state.Current == last.Current {
		s.lists = k.report.lists
	}
	if s.counts == nil {
		s.counts = k.report.counts
	}
	k.report, k.began, k.ended = s, began, ended
	return verdictKept
}

// isOlder reports whether one state of a rank precedes another one by what it shows.
func isOlder(s, than *held.State) bool {
	return s.Epoch < than.Epoch || s.Epoch == than.Epoch && s.Step < than.Step
}

func sameStep(a, b *held.State) bool { return a.Epoch == b.Epoch && a.Step == b.Step }

// addOrder stores an order that the rank carried out, unless one for a later step is known.
func (k *knowledge) addOrder(o *held.Order, now time.Time) verdict {
	last := k.lastOrder(o.Kind)
	if last == nil || o.Step == held.NoStep {
		return verdictKept
	}
	s := &k.report.state
	if o.Epoch < last.Epoch || o.Epoch == last.Epoch && o.Step <= last.Step || o.Epoch == s.Epoch && o.Step <= s.Step {
		return verdictOlder
	}
	*last = answeredOrder{*o, now}
	return verdictKept
}

// lastOrder returns where the last order of a kind is stored; nil for kinds that are not.
func (k *knowledge) lastOrder(kind held.Kind) *answeredOrder {
	switch kind {
	case held.KindArm:
		return &k.arm
	case held.KindHold:
		return &k.hold
	case held.KindRelease:
		return &k.release
	case held.KindPrepare:
	}
	return nil
}

// changes reports whether an order that was carried out changes what a report shows: it was not yet
// answered when the report was read, and its step has not begun there.
func (k *knowledge) changes(o *answeredOrder) bool {
	s := &k.report.state
	return !o.answered.Before(k.began) && o.Epoch == s.Epoch && o.Step > s.Step
}

// snapshot returns the last report with the outcome of the orders that the rank carried out since.
func (k *knowledge) snapshot() snapshot {
	out := k.report
	s := &out.state
	if k.changes(&k.arm) && s.Armed == 0 {
		s.Armed, s.ArmedAt = k.arm.Version, k.arm.Step
		out.source = sourceOrder
	}
	if k.changes(&k.hold) && s.Held == held.NoStep {
		s.Held = k.hold.Step
		out.source = sourceOrder
	}
	if k.changes(&k.release) && s.Held == k.release.Step {
		s.Held = held.NoStep
		out.source = sourceOrder
	}
	return out
}
