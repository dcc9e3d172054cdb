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
	// maxTries bounds how often a caller sends one item.
	maxTries = 6
	// tryPause is the caller's wait before another try.
	tryPause = 150 * time.Millisecond
	// callTime bounds one call of a caller.
	callTime = 30 * time.Second
	// streamOneIn streams every n-th answer.
	streamOneIn = 2
)

// Workload is one partner's traffic: items that a model reads and a plain
// service then enters, each exactly once.
type Workload struct {
	Partner graniteknot.Partner
	Model   graniteknot.Service
	Plain   graniteknot.Service
	Callers []*Caller
	// Rate is items a second; Burst is the rate in every other second, or 0.
	Rate, Burst int
	// Preambles are the beginnings that prompts share.
	Preambles []string
	// Tokens is the length of an answer.
	Tokens int
	// Seed makes the items the same in every run.
	Seed   uint64
	Report *Report

	entered []entered
}

// entered is an item that was sent to the plain service.
type entered struct {
	body    []byte
	outcome graniteknot.Outcome
}

// item is one sheet or notice.
type item struct {
	number int
	prompt string
	caller *Caller
	stream bool
}

// Run sends items for a time, and waits for their answers.
func (w *Workload) Run(ctx context.Context, length time.Duration) {
	random := rand.New(rand.NewPCG(w.Seed, w.Seed))
	var g group.Group
	results := make(chan entered)
	var collector group.Group
	collector.Go(func(context.Context) {
		for e := range results {
			w.entered = append(w.entered, e)
		}
	})
	begun := time.Now()
	for n := 0; time.Since(begun) < length && ctx.Err() == nil; n++ {
		it := w.item(n, random)
		g.Go(func(context.Context) { w.handle(ctx, it, results) })
		time.Sleep(w.gap(time.Since(begun), random))
	}
	g.Wait()
	close(results)
	collector.Wait()
}

// gap is the time to the next item, exponential around the rate in force.
func (w *Workload) gap(at time.Duration, random *rand.Rand) time.Duration {
	rate := w.Rate
	if w.Burst > 0 && int(at.Seconds())%2 == 1 {
		rate = w.Burst
	}
	return time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second))
}

func (w *Workload) item(n int, random *rand.Rand) item {
	preamble := w.Preambles[random.IntN(len(w.Preambles))]
	return item{
		number: n, prompt: fmt.Sprintf("%s item %d %d", preamble, n, random.Uint32()),
		caller: w.Callers[random.IntN(len(w.Callers))], stream: n%streamOneIn == 0,
	}
}

// handle has the model read an item and the plain service enter it.
func (w *Workload) handle(ctx context.Context, it item, results chan<- entered) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if !w.read(ctx, it) {
		return
	}
	w.enter(ctx, it, results)
}

// completionCall is the body of a completion.
type completionCall struct {
	Model     graniteknot.Service `json:"model"`
	Prompt    string              `json:"prompt"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

// read sends a repeatable call until it is answered.
func (w *Workload) read(ctx context.Context, it item) bool {
	body, err := json.Marshal(completionCall{Model: w.Model, Prompt: it.prompt, MaxTokens: w.Tokens, Stream: it.stream})
	if err != nil {
		return false
	}
	prompt, tokens, err := engine.PromptOf(body)
	if err != nil {
		return false
	}
	call := &Call{Service: w.Model, Method: http.MethodPost, Path: "/v1/completions", Body: body, Stream: it.stream}
	for try := range maxTries {
		begun := time.Now()
		answer, err := it.caller.Do(ctx, call, try)
		if err != nil {
			w.Report.add(&w.Report.Untold)
			it.caller.Forget(w.Model)
			rest(ctx)
			continue
		}
		w.Report.told(answer, begun)
		if answer.Outcome == graniteknot.OutcomeAnswered {
			if answer.Text != engine.Answer(prompt, tokens) {
				w.Report.add(&w.Report.MixedUp)
			}
			return true
		}
		rest(ctx)
	}
	w.Report.add(&w.Report.Lost)
	return false
}

// enter sends a call that may not be repeated. After not-run it takes a new
// key; after unknown it asks again with the same one.
func (w *Workload) enter(ctx context.Context, it item, results chan<- entered) {
	path := "/services/" + string(w.Plain) + "/items"
	begun := time.Now()
	last := entered{outcome: graniteknot.OutcomeUnknown}
	key := ""
	sent := false
	for try := range maxTries {
		if key == "" {
			var err error
			if key, err = it.caller.NewKey(ctx, w.Plain); err != nil {
				rest(ctx)
				continue
			}
			last = entered{body: fmt.Appendf(nil, "%s %d %s", w.Partner, it.number, key)}
		}
		call := &Call{
			Service: w.Plain, Method: http.MethodPost, Path: path, Body: last.body, IdempotencyKey: key,
		}
		answer, err := it.caller.Do(ctx, call, try)
		sent = true
		if err != nil {
			w.Report.add(&w.Report.Untold)
			rest(ctx)
			continue
		}
		w.Report.told(answer, begun)
		last.outcome = answer.Outcome
		switch answer.Outcome {
		case graniteknot.OutcomeAnswered:
			if answer.Status == http.StatusOK && answer.Text != plain.Answer(http.MethodPost, "/items", last.body) {
				w.Report.add(&w.Report.MixedUp)
			}
			results <- last
			return
		case graniteknot.OutcomeNotRun:
			results <- last
			key = ""
			it.caller.Forget(w.Plain)
		case graniteknot.OutcomeUnknown:
		}
		rest(ctx)
	}
	if sent && key != "" {
		results <- last
	}
	if last.outcome == graniteknot.OutcomeNotRun {
		w.Report.add(&w.Report.Lost)
	}
}

// Check compares what callers were told with what ran.
func (w *Workload) Check(runs func(body []byte) int) {
	for _, e := range w.entered {
		n := runs(e.body)
		switch {
		case n > 1:
			w.Report.Doubled++
		case n > 0 && e.outcome == graniteknot.OutcomeNotRun:
			w.Report.Untrue++
		case n == 0 && e.outcome == graniteknot.OutcomeAnswered:
			w.Report.Lost++
		}
	}
}

// rest is the caller's wait before another try.
func rest(ctx context.Context) {
	timer := time.NewTimer(tryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// newKey returns a version 7 UUID, which carries its time.
func newKey() string {
	const version, variant = 0x7000, 0x8000
	ms := time.Now().UnixMilli()
	a, b := rand.Uint64(), rand.Uint64()
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", ms>>16, ms&0xffff, version|a&0xfff, variant|a>>16&0x3fff, b&0xffffffffffff)
}

// Preambles returns n beginnings of a size in bytes, for prompts that share
// them.
func Preambles(kind string, n, size int) []string {
	out := make([]string, n)
	for i := range out {
		line := fmt.Sprintf("%s instructions, variant %d. ", kind, i)
		out[i] = strings.Repeat(line, size/len(line)+1)[:size]
	}
	return out
}
