// Package engine stands in for a model engine: continuous batching in steps,
// priorities, a bounded prefix cache, resuming, cancelling, and load reports
// that lag. Tokens are a function of the prompt alone.
package engine

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
)

// Config is the shape of an engine. Zero fields take the defaults.
type Config struct {
	// Step is how long one step of the batch takes; less than zero for steps
	// without any wait, for measuring the way to the engine.
	Step time.Duration
	// Batch is how many sequences run at once.
	Batch int
	// Prefill is how many prompt bytes one step reads for one sequence.
	Prefill int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// ChecksFences refuses orders with lower fences.
	ChecksFences bool
}

// The defaults of Config.
const (
	DefaultStep        = 4500 * time.Microsecond
	DefaultBatch       = 32
	DefaultPrefill     = 4096
	DefaultCacheBlocks = 512
	DefaultReportLag   = time.Second
)

func (c Config) filled() Config {
	if c.Step == 0 {
		c.Step = DefaultStep
	}
	if c.Batch == 0 {
		c.Batch = DefaultBatch
	}
	if c.Prefill == 0 {
		c.Prefill = DefaultPrefill
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.ReportLag == 0 {
		c.ReportLag = DefaultReportLag
	}
	return c
}

// Engine is one engine. Make it with New and stop it with Stop.
type Engine struct {
	config Config
	group  group.Group

	mu sync.Mutex
	// running and waiting hold every sequence that is not done.
	running []*sequence
	waiting []*sequence
	cache   prefixCache
	// reports are past loads, oldest first; the first is what is reported.
	reports []report
	wake    chan struct{}
	steps   uint64
	// fence is that of the last order, ordered what was ordered.
	fence   graniteknot.Fence
	ordered map[graniteknot.OrderKind]string
	// stalled makes every step take this much longer.
	stalled time.Duration
}

type report struct {
	at   time.Time
	load graniteknot.TargetLoad
}

// sequence is one prompt being answered.
type sequence struct {
	ctx      context.Context //nolint:containedctx // It is the sequence's own life.
	prompt   []byte
	priority int
	// unread counts the prompt bytes that are not read yet.
	unread int
	next   int
	end    int
	// tokens has room for the whole answer, so that a step never waits.
	tokens chan string
}

// New returns an engine that runs.
func New(c Config) *Engine {
	e := &Engine{config: c.filled(), wake: make(chan struct{}, 1)}
	e.group.Go(e.loop)
	return e
}

// Stop ends the engine and every sequence.
func (e *Engine) Stop() { e.group.Stop() }

// Stall makes every step take longer; 0 ends that.
func (e *Engine) Stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = d
}

// Submit adds a prompt. The channel gives the tokens and is closed after the
// last one, or early when ctx is done or the engine stops.
func (e *Engine) Submit(ctx context.Context, prompt []byte, priority, resumeAfter, tokens int) <-chan string {
	s := &sequence{
		ctx: ctx, prompt: prompt, priority: priority, next: resumeAfter, end: tokens,
		tokens: make(chan string, max(0, tokens-resumeAfter)),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*sequence{s}, e.waiting[at:]...)...)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s.tokens
}

// loop runs steps while there is work.
func (e *Engine) loop(ctx context.Context) {
	defer e.closeAll()
	timer := time.NewTimer(e.config.Step)
	defer timer.Stop()
	for {
		if !e.step() {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
		}
		wait := e.stepTime()
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
	}
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Step + e.stalled
}

// step admits, reads prompts and makes one token for each sequence. It returns
// false when there is nothing to do.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	for len(e.running) < e.config.Batch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.unread = len(s.prompt) - e.cache.hit(s.prompt)
		e.running = append(e.running, s)
	}
	kept := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			kept = append(kept, s)
			continue
		}
		close(s.tokens)
	}
	e.running = kept
	e.record()
	return len(e.running)+len(e.waiting) > 0
}

// advance moves one sequence; false when it is done.
func (e *Engine) advance(s *sequence) bool {
	if s.ctx.Err() != nil {
		return false
	}
	if s.unread > 0 {
		s.unread -= e.config.Prefill
		if s.unread <= 0 {
			e.cache.add(s.prompt, e.config.CacheBlocks)
		}
		return true
	}
	if s.next >= s.end {
		return false
	}
	s.tokens <- Token(s.prompt, s.next)
	s.next++
	return s.next < s.end
}

func (e *Engine) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(e.running, e.waiting...) {
		close(s.tokens)
	}
	e.running, e.waiting = nil, nil
}

// record keeps the load for later reports.
func (e *Engine) record() {
	now := time.Now()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.config.ReportLag/4 {
		return
	}
	load := graniteknot.TargetLoad{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Batch, Prefixes: e.cache.newest(),
	}
	e.reports = append(e.reports, report{at: now, load: load})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.config.ReportLag {
		e.reports = e.reports[1:]
	}
}

// Load returns a report that lags.
func (e *Engine) Load() graniteknot.TargetLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return graniteknot.TargetLoad{Slots: e.config.Batch}
	}
	return e.reports[0].load
}
