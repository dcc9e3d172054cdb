package forward

import (
	"log/slog"
	"net/http"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/meter"
)

// heed takes in what an answer says of its replica, from its head on and whatever the answer
// is: the word is about the replica, and binds all other requests too.
func (r *run) heed(l *fleet.Lease, answer *http.Response) {
	r.said = r.f.Dialect.Marks(answer.StatusCode, answer.Header)
	if r.said.Elsewhere {
		// It is another replica's.
		return
	}
	answered := r.said.Sealed && !r.said.NotRun
	word := fleet.Feedback{
		Backoff: r.said.Rest, Leaving: r.said.Leaving, Limit: r.said.Limit,
		Answered: answered, Unlimited: answered && !r.said.Limit.Named && !r.said.Limit.Odd,
	}
	if l.ApplyFeedback(word, r.f.Clock.Now()) {
		r.f.Log.Info("replica said", append(said(&r.said), slog.String("replica", l.Replica.Life().String()))...)
	}
	if r.said.Rest > 0 {
		r.countWord(l, "rest")
	}
	if r.said.Leaving {
		r.countWord(l, "leaving")
	}
	switch {
	case r.said.Limit.Odd:
		r.countWord(l, "odd limit")
	case r.said.Limit.Named:
		r.countWord(l, "limit")
	}
}

// countWord counts what a replica said of itself.
func (r *run) countWord(l *fleet.Lease, word string) {
	r.f.Meter.Count("graniteknot_replicas_said_total",
		meter.Label{Name: "service", Value: string(l.Replica.Service)}, meter.Label{Name: "word", Value: word})
}

// said are the fields of an attempt's line for what the replica said of itself.
func said(m *Marks) []slog.Attr {
	var out []slog.Attr
	if m.Rest > 0 {
		out = append(out, eventlog.Milliseconds("rest_asked", m.Rest))
	}
	if m.Leaving {
		out = append(out, slog.Bool("leaving", true))
	}
	if m.Limit.Named {
		out = append(out, slog.Float64("limit", float64(m.Limit.Rate)))
	}
	if m.Limit.Odd {
		out = append(out, slog.Bool("odd_limit", true))
	}
	return out
}
