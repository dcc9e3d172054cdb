package load

import (
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	graniteknot "graniteknot.org/go"
)

const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 3
)

// Report counts the results of calls and the violations of guarantees. Create it with NewReport.
type Report struct {
	mu sync.Mutex
	// Sent counts calls that got a response, the others count them by outcome.
	Sent, Answered, NotRun, Unknown int64
	// NoResponse counts calls that failed without a complete response. Sent does not include
	// them.
	NoResponse int64
	// Lost counts items that the model had not answered, a stream that may run once and broke off included, or the plain service not run, after
	// all attempts, and items that never ran though reported answered. Duplicated counts items
	// that ran more than once. Mismatched counts answers that do not belong to the call.
	Lost, Duplicated, Mismatched int64
	// Streams counts streams that began, BrokenStreams and WrongStreams those of them that StreamCounts calls so. All
	// three count each attempt, of all kinds of callers.
	Streams, BrokenStreams, WrongStreams int64
	streamsByCaller                      [callerKinds]StreamCounts
	// FalseNotRun counts items that ran though reported not-run.
	FalseNotRun      int64
	latency          *hdrhistogram.Histogram
	timeToFirstChunk *hdrhistogram.Histogram
	// Codes counts errors by code and message.
	Codes map[string]int64
	// FirstUnknown is the first request with outcome unknown, so that its timeline can be shown.
	FirstUnknown graniteknot.RequestID
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		latency:          hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		timeToFirstChunk: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
		Codes:            map[string]int64{},
	}
}

// record counts one result of a kind of caller. The pauses of slow callers are no latency, so their times are left out.
func (r *Report) record(kind CallerKind, result *Result, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if result.Code != "" {
		r.Codes[result.Code]++
	}
	switch result.Outcome {
	case graniteknot.OutcomeAnswered:
		r.Answered++
		if kind != CallerSlow {
			_ = r.latency.RecordValue(time.Since(start).Nanoseconds())
			_ = r.timeToFirstChunk.RecordValue(result.FirstChunkAt.Sub(start).Nanoseconds())
		}
	case graniteknot.OutcomeNotRun:
		r.NotRun++
	case graniteknot.OutcomeUnknown:
		r.Unknown++
		if r.FirstUnknown == "" {
			r.FirstUnknown = result.ID
		}
	}
}

// recordStream counts an attempt at a stream whose answer is known. Its result is nil if nothing arrived; an error means
// that reading it failed.
func (r *Report) recordStream(kind CallerKind, result *Result, err error, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := &r.streamsByCaller[kind]
	counts.Sent++
	if result == nil || !result.Streamed {
		return
	}
	r.Streams++
	broken := err != nil || !result.Complete
	wrong := !strings.HasPrefix(answer, result.Text) || result.Complete && result.Text != answer
	if broken {
		counts.Broken++
		r.BrokenStreams++
	}
	if wrong {
		counts.Wrong++
		r.WrongStreams++
	}
	if !broken && !wrong {
		counts.Whole++
	}
}

// StreamsOf returns the counts of streams of a kind of caller.
func (r *Report) StreamsOf(kind CallerKind) StreamCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streamsByCaller[kind]
}

func (r *Report) increment(counter *int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// Latency returns a percentile of the total time of answered calls, without those of slow callers.
func (r *Report) Latency(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtQuantile(percentile))
}

// TimeToFirstChunk returns a percentile of the time to the first chunk of answered calls, without those of
// slow callers.
func (r *Report) TimeToFirstChunk(percentile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.timeToFirstChunk.ValueAtQuantile(percentile))
}

// Violated reports whether a guarantee was violated.
func (r *Report) Violated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Lost+r.Duplicated+r.Mismatched+r.WrongStreams+r.FalseNotRun > 0
}
