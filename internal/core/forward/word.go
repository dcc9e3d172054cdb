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
	r.said = r.f.Codec.Marks(answer.StatusCode, answer.Header)
	if r.said.WrongReplica {
		// It is another replica's.
		return
	}
	answered := r.said.Sealed && !r.said.NotRun
	word := fleet.Feedback{
		Backoff: r.said.RetryAfter, Leaving: r.said.Leaving, Limit: r.said.RateLimit,
		Answered: answered, Unlimited: answered && !r.said.RateLimit.Named && !r.said.RateLimit.Odd,
	}
	if l.ApplyFeedback(word, r.f.Clock.Now()) {
		r.f.Log.Info("replica said", append(said(&r.said), slog.String("replica", l.Replica.Life().String()))...)
	}
	if r.said.RetryAfter > 0 {
		r.countWord(l, "rest")
	}
	if r.said.Leaving {
		r.countWord(l, "leaving")
	}
	switch {
	case r.said.RateLimit.Odd:
		r.countWord(l, "odd limit")
	case r.said.RateLimit.Named:
		r.countWord(l, "limit")
	}
}

// countWord counts what a replica said of itself.
func (r *run) countWord(l *fleet.Lease, word string) {
	r.f.Meter.Count("graniteknot_replicas_said_total",
		meter.Label{Name: "service", Value: string(l.Replica.Service)}, meter.Label{Name: "word", Value: word})
}

// said are the fields of an attempt's line for what the replica said of itself.
func said(m *ResponseMetadata) []slog.Attr {
	var out []slog.Attr
	if m.RetryAfter > 0 {
		out = append(out, eventlog.Milliseconds("rest_asked", m.RetryAfter))
	}
	if m.Leaving {
		out = append(out, slog.Bool("leaving", true))
	}
	if m.RateLimit.Named {
		out = append(out, slog.Float64("limit", float64(m.RateLimit.Rate)))
	}
	if m.RateLimit.Odd {
		out = append(out, slog.Bool("odd_limit", true))
	}
	return out
}
