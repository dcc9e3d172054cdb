package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/engine"
	"graniteknot.org/go/internal/standin/plain"
)

const (
	// maxAttempts bounds the attempts at each of the two calls for an item.
	maxAttempts = 6
	// retryDelay is the delay before another attempt.
	retryDelay = 150 * time.Millisecond
	// itemTimeout bounds all calls for one item.
	itemTimeout = 30 * time.Second
	// streamInterval makes every n-th item request a stream.
	streamInterval = 2
)

// Workload is one partner's traffic. Each item is first sent to a model, then
// submitted to a plain service, which must run it exactly once.
type Workload struct {
	Partner      graniteknot.Partner
	ModelService graniteknot.Service
	PlainService graniteknot.Service
	Callers      []*Caller
	CallerShares CallerShares
	// Rate is in items a second. Burst, if not 0, is the rate in every other second.
	Rate, Burst int
	// PromptPrefixes are the prefixes that prompts share.
	PromptPrefixes []string
	// Tokens is the number of tokens to generate for each item.
	Tokens int
	// Seed seeds the random choices, so that the items are the same in every run.
	Seed   uint64
	Report *Report

	submissions []submission
}

// submission is a request to the plain service and its last known outcome.
type submission struct {
	body    []byte
	outcome graniteknot.Outcome
}

// item is one unit of work, such as a sheet or a notice.
type item struct {
	number int
	prompt string
	caller *Caller
	stream bool
	kind   CallerKind
}

// Run sends items for a time, and waits until all of them are handled.
func (w *Workload) Run(ctx context.Context, length time.Duration) {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed))
	// Kinds have random numbers of their own, so that the items are the same for all shares.
	kinds := rand.New(rand.NewPCG(w.Seed, ^w.Seed))
	var g group.Group
	submitted := make(chan submission)
	var collector group.Group
	collector.Go(func(context.Context) {
		for s := range submitted {
			w.submissions = append(w.submissions, s)
		}
	})
	start := time.Now()
	for n := 0; time.Since(start) < length && ctx.Err() == nil; n++ {
		it := w.item(n, random)
		it.kind = w.CallerShares.kind(kinds.Float64())
		g.Go(func(context.Context) { w.handle(ctx, it, submitted) })
		time.Sleep(w.nextInterval(time.Since(start), random))
	}
	g.Wait()
	close(submitted)
	collector.Wait()
}

// nextInterval returns the time to the next item, exponentially distributed at the current rate.
func (w *Workload) nextInterval(at time.Duration, random *rand.Rand) time.Duration {
	rate := w.Rate
	if w.Burst > 0 && int(at.Seconds())%2 == 1 {
		rate = w.Burst
	}
	return time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second))
}

func (w *Workload) item(n int, random *rand.Rand) item {
	prefix := w.PromptPrefixes[random.IntN(len(w.PromptPrefixes))]
	return item{
		number: n, prompt: fmt.Sprintf("%s item %d %d", prefix, n, random.Uint32()),
		caller: w.Callers[random.IntN(len(w.Callers))], stream: n%streamInterval == 0,
	}
}

// handle sends an item to the model and, once it is answered, to the plain service.
func (w *Workload) handle(ctx context.Context, it item, submitted chan<- submission) {
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	if !w.complete(ctx, it) {
		return
	}
	w.submit(ctx, it, submitted)
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     graniteknot.Service `json:"model"`
	Prompt    string              `json:"prompt"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

// complete sends a call to the model until it is answered, or may have run and must not be repeated, and reports whether
// it was answered.
func (w *Workload) complete(ctx context.Context, it item) bool {
	body, err := json.Marshal(completionRequest{Model: w.ModelService, Prompt: it.prompt, MaxTokens: w.Tokens, Stream: it.stream})
	if err != nil {
		return false
	}
	prompt, tokens, err := engine.PromptOf(body)
	if err != nil {
		return false
	}
	answer := engine.Answer(prompt, tokens)
	call := &Call{Service: w.ModelService, Method: http.MethodPost, Path: "/v1/completions", Body: body, Stream: it.stream, Kind: it.kind}
	for attempt := range maxAttempts {
		start := time.Now()
		result, err := it.caller.Do(ctx, call, attempt)
		if it.stream || result != nil && result.Streamed {
			w.Report.recordStream(it.kind, result, err, answer)
		}
		if err != nil {
			w.Report.increment(&w.Report.NoResponse)
			if call.isLost(result, err) {
				break
			}
			it.caller.ForgetAddresses(w.ModelService)
			waitBeforeRetry(ctx)
			continue
		}
		w.Report.record(it.kind, result, start)
		if result.Outcome == graniteknot.OutcomeAnswered {
			if result.Text != answer {
				w.Report.increment(&w.Report.Mismatched)
			}
			return true
		}
		if call.isLost(result, nil) {
			break
		}
		waitBeforeRetry(ctx)
	}
	w.Report.increment(&w.Report.Lost)
	return false
}

// submit sends a call that is not repeatable to the plain service. After not-run it
// retries with a new key, after unknown with the same one.
func (w *Workload) submit(ctx context.Context, it item, submitted chan<- submission) {
	path := "/services/" + string(w.PlainService) + "/items"
	start := time.Now()
	last := submission{outcome: graniteknot.OutcomeUnknown}
	key := ""
	sent := false
	for attempt := range maxAttempts {
		if key == "" {
			var err error
			if key, err = it.caller.NewIdempotencyKey(ctx, w.PlainService); err != nil {
				waitBeforeRetry(ctx)
				continue
			}
			last = submission{body: fmt.Appendf(nil, "%s %d %s", w.Partner, it.number, key)}
		}
		call := &Call{
			Service: w.PlainService, Method: http.MethodPost, Path: path, Body: last.body, IdempotencyKey: key, Kind: it.kind,
		}
		result, err := it.caller.Do(ctx, call, attempt)
		sent = true
		if err != nil {
			w.Report.increment(&w.Report.NoResponse)
			waitBeforeRetry(ctx)
			continue
		}
		w.Report.record(it.kind, result, start)
		last.outcome = result.Outcome
		switch result.Outcome {
		case graniteknot.OutcomeAnswered:
			if result.Status == http.StatusOK && result.Text != plain.Answer(http.MethodPost, "/items", last.body) {
				w.Report.increment(&w.Report.Mismatched)
			}
			submitted <- last
			return
		case graniteknot.OutcomeNotRun:
			submitted <- last
			key = ""
			it.caller.ForgetAddresses(w.PlainService)
		case graniteknot.OutcomeUnknown:
		}
		waitBeforeRetry(ctx)
	}
	if sent && key != "" {
		submitted <- last
	}
	if last.outcome == graniteknot.OutcomeNotRun {
		w.Report.increment(&w.Report.Lost)
	}
}

// Check compares the outcomes that callers got with how often each request body ran.
func (w *Workload) Check(runs func(body []byte) int) {
	for _, s := range w.submissions {
		n := runs(s.body)
		switch {
		case n > 1:
			w.Report.Duplicated++
		case n > 0 && s.outcome == graniteknot.OutcomeNotRun:
			w.Report.FalseNotRun++
		case n == 0 && s.outcome == graniteknot.OutcomeAnswered:
			w.Report.Lost++
		}
	}
}

// waitBeforeRetry waits for retryDelay or until the context ends.
func waitBeforeRetry(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// newUUIDv7 returns a version 7 UUID, which contains the current time.
func newUUIDv7() string {
	const version, variant = 0x7000, 0x8000
	ms := time.Now().UnixMilli()
	a, b := rand.Uint64(), rand.Uint64()
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", ms>>16, ms&0xffff, version|a&0xfff, variant|a>>16&0x3fff, b&0xffffffffffff)
}

// NewPromptPrefixes returns n prefixes of a size in bytes for prompts to share.
func NewPromptPrefixes(kind string, n, size int) []string {
	out := make([]string, n)
	for i := range out {
		line := fmt.Sprintf("%s instructions, variant %d. ", kind, i)
		out[i] = strings.Repeat(line, size/len(line)+1)[:size]
	}
	return out
}
