package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"graniteknot.org/go/internal/group"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the program.
	Binary string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// Gateways, Replicas and Callers are their numbers; zero selects 3, 3 and 8.
	Gateways, Replicas, Callers int
	// Faults is the number of faults in Span. At its end all faults end, and all gateways have to
	// serve again.
	Faults int
	Span   time.Duration
	// Ends sends a request that crashes every replica that runs it, and writes malformed records.
	Ends bool
	// Parts gives requests prompts, and sends requests with a part that crashes every replica.
	Parts bool
	// Words lets replicas ask for backoff, and announce in responses that they leave.
	Words bool
	// Limits lets replicas state rate limits for all gateways together.
	Limits bool
	// Drills restores the store from older copies of itself.
	Drills bool
	// Series writes versions of the configuration in series, some of them large. Readers is the
	// number of gateways that read the store for all.
	Series  bool
	Readers int
	// Away lets the store reject some gateways for seconds.
	Away bool
	// Evacuations places replicas in two or three zones, and evacuates one zone at a time.
	Evacuations bool
	// Cold lets replicas start cold, and become cold again while they run.
	Cold bool
	// Endless lets replicas send bytes that are no response without end.
	Endless bool
	// Streams adds callers of streams, a quarter of which have a fault at their replica.
	Streams bool
	// Say is called for each fault; nil for no reports.
	Say func(string)
}

// Result is the outcome of a run.
type Result struct {
	Calls, Answered, NotRun, Other int
	// Streams is the number of streams that were called, Whole that of those that arrived whole.
	Streams, Whole int
	Findings       []Finding
}

// recoverTime is the longest time until all gateways serve again.
const recoverTime = 30 * time.Second

// errNeverServed is returned if the gateways don't serve before any fault.
var errNeverServed = errors.New("the gateways never served")

// Run runs one seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	o.Gateways, o.Replicas, o.Callers = cmp.Or(o.Gateways, 3), cmp.Or(o.Replicas, 3), cmp.Or(o.Callers, 8)
	w, err := newWorld(&o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	gateways, err := start(ctx, &o, w)
	defer func() {
		for _, g := range gateways {
			g.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	if !serving(ctx, w, gateways, "before") {
		return nil, errNeverServed
	}
	calls, findings := play(ctx, &o, w, gateways)
	calls = append(calls, w.probes...)
	findings = append(findings, check(w, calls)...)
	return summarize(w, calls, findings), nil
}

func start(ctx context.Context, o *Options, w *world) ([]*process, error) {
	var out []*process
	for i := range o.Gateways {
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 2+pid%60, (pid/60)%250+1, i+1)
		p, err := newProcess(ctx, o, ip, w.store.Address())
		if err != nil {
			return out, err
		}
		out = append(out, p)
	}
	return out, nil
}

// play sends requests to the gateways while faults are injected.
func play(ctx context.Context, o *Options, w *world, gateways []*process) ([]*call, []Finding) {
	calling, stop := context.WithCancel(ctx)
	var load group.Group
	callers := make([]*caller, o.Callers)
	for i := range callers {
		random := rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		callers[i] = newCaller(i, w, random.IntN)
		callers[i].prompts = o.Parts
		load.Go(func(context.Context) { callers[i].run(calling, gateways) })
	}
	others := &caller{name: "deadly", key: w.newestKey, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	var streaming []*streamCaller
	if o.Streams {
		streaming = w.callStreams(calling, o.Seed, gateways, &load)
	}
	startKinds(calling, o, w, gateways, others, &load)
	var settled []*caller
	var memory []Finding
	if o.Series {
		load.Go(func(context.Context) { w.series(calling, rand.New(rand.NewPCG(o.Seed, seriesStream)).IntN) })
		settled = callWithAppliedKeys(calling, o, w, gateways, &load)
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	faults := schedule(random, o.Faults, o.Span, w, gateways)
	if o.Away {
		faults = append(faults, drawPartialOutages(rand.New(rand.NewPCG(o.Seed, partialOutageStream)), o.Span, gateways)...)
	}
	var findings []Finding
	if o.Endless {
		faults = append(faults, drawEndless(rand.New(rand.NewPCG(o.Seed, endlessStream)), o.Span, w)...)
		load.Go(func(context.Context) { memory = watchMemory(calling, gateways) })
	}
	injectFaults(ctx, o, faults)
	if !serving(ctx, w, gateways, "after") {
		findings = append(findings, Finding{"all serve again", "-", fmt.Sprintf("not within %v of the last fault", recoverTime)})
	}
	stop()
	load.Wait()
	findings = append(findings, memory...)
	for _, c := range streaming {
		w.streamCalls = append(w.streamCalls, c.calls...)
	}
	var calls []*call
	for _, c := range append(append(callers, others), settled...) {
		calls = append(calls, c.calls...)
	}
	return calls, findings
}

// startKinds starts what the kinds of run in the options add to the callers' requests.
func startKinds(ctx context.Context, o *Options, w *world, gateways []*process, others *caller, load *group.Group) {
	if o.Ends {
		random := rand.New(rand.NewPCG(o.Seed, crashStream))
		load.Go(func(context.Context) { others.sendCrashing(ctx, gateways, random.IntN) })
		load.Go(func(context.Context) { w.writeMalformed(ctx, rand.New(rand.NewPCG(o.Seed, crashStream+1)).IntN) })
	}
	if o.Parts {
		random := rand.New(rand.NewPCG(o.Seed, partStream))
		load.Go(func(context.Context) { others.sendCrashingParts(ctx, gateways, random.IntN) })
	}
	if o.Drills {
		load.Go(func(context.Context) {
			w.drills(ctx, gateways, rand.New(rand.NewPCG(o.Seed, drillsStream)).IntN)
		})
	}
	if o.Words {
		load.Go(func(context.Context) { w.sendFeedback(ctx, rand.New(rand.NewPCG(o.Seed, feedbackStream)).IntN) })
	}
	if o.Limits {
		load.Go(func(context.Context) { w.limits(ctx, rand.New(rand.NewPCG(o.Seed, limitsStream)).IntN) })
	}
	if o.Evacuations {
		load.Go(func(context.Context) {
			w.evacuate(ctx, gateways, rand.New(rand.NewPCG(o.Seed, evacuationsStream)).IntN)
		})
	}
	if o.Cold {
		load.Go(func(context.Context) { w.coldAgain(ctx, rand.New(rand.NewPCG(o.Seed, coldStream+1)).IntN) })
	}
}

// injectFaults begins the faults at their times and ends them all.
func injectFaults(ctx context.Context, o *Options, faults []fault) {
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	var ends sync.WaitGroup
	for _, f := range faults {
		wait(ctx, time.Until(began.Add(f.at)))
		if o.Say != nil {
			o.Say(fmt.Sprintf("%7.3f s  %s for %v", time.Since(began).Seconds(), f.name, f.duration))
		}
		f.begin()
		if f.end != nil {
			ends.Go(func() {
				wait(ctx, f.duration)
				f.end()
			})
		}
	}
	ends.Wait()
	wait(ctx, time.Until(began.Add(o.Span)))
}

// serving waits until every gateway has answered a request.
func serving(ctx context.Context, w *world, gateways []*process, when string) bool {
	ctx, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	for i, g := range gateways {
		c := newCaller(0, w, func(int) int { return 0 })
		c.key = w.newestKey
		c.name = fmt.Sprint("probe-", when, "-", i)
		for n := 0; ; n++ {
			c.one(ctx, n, g)
			if ctx.Err() != nil {
				return false
			}
			if last := c.calls[len(c.calls)-1]; last.status == 200 {
				break
			}
			wait(ctx, 100*time.Millisecond)
		}
		w.addProbes(c.calls)
	}
	return true
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func summarize(w *world, calls []*call, findings []Finding) *Result {
	r := &Result{Calls: len(calls), Streams: len(w.streamCalls), Findings: findings}
	for _, x := range w.streamCalls {
		if x.whole() {
			r.Whole++
		}
	}
	for _, c := range calls {
		switch {
		case c.status == 200:
			r.Answered++
		case saysNotRun(c.status):
			r.NotRun++
		default:
			r.Other++
		}
	}
	return r
}
