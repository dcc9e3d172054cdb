package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/load"
	"graniteknot.org/go/internal/core/mapkeeper"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/ranks"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// Day is the plan of a bundled day, squeezed into seconds.
type Day struct {
	Length time.Duration
	// SheetRate and NoticeRate are items a second; NoticeBurst is the rate of
	// notices in a burst.
	SheetRate, NoticeRate, NoticeBurst int
	CallerShares                       load.CallerShares
	// NoChanges leaves the settings as they are, for days without a log.
	NoChanges bool
	// Happens is called in the middle of the day, for failures; it may be nil.
	Happens func(ctx context.Context)
}

// DefaultDay is what make run plays.
var DefaultDay = Day{Length: 10 * time.Second, SheetRate: 60, NoticeRate: 20, NoticeBurst: 120}

// Result is what a day came to.
type Result struct {
	Workloads []*load.Workload
	// Lags are the times from a change's acceptance until it was in force
	// everywhere.
	Lags []time.Duration
	// Stopped is how long the planned stop took.
	Stopped time.Duration
	// Maps and Group are of the rank group that both partners' experts share.
	Maps  mapkeeper.Stats
	Group ranks.Stats
	Errs  []error
	// Example is the time line of a request that ended unknown.
	Example []*wire.Event
}

// Broken tells whether a promise was broken.
func (r *Result) Broken() bool {
	for _, w := range r.Workloads {
		// No process dies in the day, so nothing may end unknown.
		if w.Report.Violated() || w.Report.Unknown > 0 {
			return true
		}
	}
	return len(r.Errs) > 0 || r.Group.Mixed > 0 || r.Group.Steps == 0
}

// Play plays a day: traffic of both partners, settings changes while it flows,
// and a planned stop of one entry.
func (c *Cluster) Play(ctx context.Context, day Day) *Result {
	result := &Result{}
	var traffic, operators, maps group.Group
	pool := c.newPool(day)
	defer pool.ranks.Stop()
	maps.Go(pool.loop.Run)
	for i, p := range c.Partners {
		w := c.workload(p, day, uint64(i+1))
		result.Workloads = append(result.Workloads, w)
		traffic.Go(func(context.Context) { w.Run(ctx, day.Length) })
	}
	if !day.NoChanges {
		operators.Go(func(context.Context) { c.changeSettings(ctx, day, result) })
	}
	operators.Go(func(context.Context) { c.stopOne(ctx, day, result) })
	if day.Happens != nil {
		operators.Go(func(context.Context) {
			delay.For(ctx, day.Length/2)
			day.Happens(ctx)
		})
	}
	traffic.Wait()
	operators.Wait()
	maps.Stop()
	result.Maps, result.Group = pool.loop.Stats(), pool.ranks.Stats()
	for i, w := range result.Workloads {
		w.Check(c.Partners[i].service.Runs)
		if w.Report.FirstUnknown != "" {
			result.Example = c.timeline(w.Report.FirstUnknown)
		}
	}
	return result
}

// timeline merges the events of one request over all processes.
func (c *Cluster) timeline(request graniteknot.RequestID) []*wire.Event {
	var parts [][]*wire.Event
	for _, p := range c.Processes() {
		parts = append(parts, p.Node.Timeline.Events(request))
	}
	return timeline.Merge(parts...)
}

func (c *Cluster) workload(p *Partner, day Day, seed uint64) *load.Workload {
	const preambleSize, preambles, tokens = 2048, 8, 48
	w := &load.Workload{
		Partner: p.Name, ModelService: p.Model, PlainService: p.PlainOf, Rate: day.SheetRate, Seed: seed,
		PromptPrefixes: load.NewPromptPrefixes(string(p.Model), preambles, preambleSize), Tokens: tokens, Report: load.NewReport(),
		CallerShares: day.CallerShares,
	}
	if p.Name == Communications {
		w.Rate, w.Burst = day.NoticeRate, day.NoticeBurst
	}
	for _, key := range p.Keys {
		w.Callers = append(w.Callers, &load.Caller{EntryAddresses: entryAddresses(p.Entries), Key: key, HTTP: p.client})
	}
	return w
}

func entryAddresses(entries []*app.Process) []graniteknot.Address {
	out := make([]graniteknot.Address, len(entries))
	for i, e := range entries {
		out[i] = e.Config.Listen
	}
	return out
}

// changeSettings publishes changes of both partners and waits until each is in
// force everywhere.
func (c *Cluster) changeSettings(ctx context.Context, day Day, result *Result) {
	const changes = 4
	for i := range changes {
		delay.For(ctx, day.Length/(changes+1))
		p := c.Partners[i%len(c.Partners)]
		text := fmt.Sprintf("[partner]\n%sdeadline = %ds\n", partnerWeights(p), 15+i)
		answer, err := c.Publish(ctx, p, settings.Branch(p.Name), text)
		if err != nil {
			result.Errs = append(result.Errs, err)
			return
		}
		accepted := time.Now()
		if err := c.AwaitForce(ctx, answer.Offset); err != nil {
			result.Errs = append(result.Errs, err)
			return
		}
		result.Lags = append(result.Lags, time.Since(accepted))
	}
}

// AwaitForce waits until every process has folded an offset.
func (c *Cluster) AwaitForce(ctx context.Context, offset graniteknot.Offset) error {
	const patience, pause = 9 * time.Second, 2 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for _, p := range c.Processes() {
		if p.Stopped() {
			continue
		}
		for p.Node.Store.Position().Offset < offset {
			delay.For(ctx, pause)
			if p.Stopped() {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("offset %d is not in force at %s after %s", offset, p.Config.Box, patience)
			}
		}
	}
	return nil
}

// stopOne stops the first entry in a planned way, in the middle of the day.
func (c *Cluster) stopOne(ctx context.Context, day Day, result *Result) {
	delay.For(ctx, day.Length/3)
	begun := time.Now()
	if err := c.Partners[0].Entries[0].Stop(ctx); err != nil {
		result.Errs = append(result.Errs, err)
	}
	result.Stopped = time.Since(begun)
}

// Print writes the table of a day.
func (r *Result) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-16s %7s %9s %8s %8s %7s %5s %8s %9s %8s %9s %9s %9s\n", "partner", "sent", "answered",
		"not-run", "unknown", "untold", "lost", "doubled", "mixed-up", "untrue", "p50", "p95", "p99")
	for _, l := range r.Workloads {
		p := l.Report
		const half, most, nearlyAll = 50, 95, 99
		_, _ = fmt.Fprintf(w, "%-16s %7d %9d %8d %8d %7d %5d %8d %9d %8d %9s %9s %9s\n", l.Partner, p.Sent, p.Answered,
			p.NotRun, p.Unknown, p.NoResponse, p.Lost, p.Duplicated, p.Mismatched, p.FalseNotRun, short(p.Latency(half)),
			short(p.Latency(most)), short(p.Latency(nearlyAll)))
	}
	for _, l := range r.Workloads {
		printStreams(w, l)
		if len(l.Report.Codes) > 0 {
			_, _ = fmt.Fprintf(w, "%s errors by code: %v\n", l.Partner, l.Report.Codes)
		}
	}
	for i, lag := range r.Lags {
		_, _ = fmt.Fprintf(w, "settings change %d: in force everywhere %s after acceptance\n", i+1, short(lag))
	}
	_, _ = fmt.Fprintf(w, "rank group: %s; %d switches, %d experts moved, %.1f MB\n", r.Group, r.Maps.Switches, r.Maps.Moves,
		float64(r.Maps.Bytes)/1e6)
	_, _ = fmt.Fprintf(w, "planned stop of one entry: %s\n", short(r.Stopped))
	_ = timeline.Write(w, timeline.FormatText, r.Example)
	for _, err := range r.Errs {
		_, _ = fmt.Fprintln(w, "broken:", err)
	}
}

// printStreams writes the counts of streams of a workload, in sum and by kind of caller.
func printStreams(w io.Writer, l *load.Workload) {
	p := l.Report
	_, _ = fmt.Fprintf(w, "%s streams: %d, broken off %d, wrong %d\n", l.Partner, p.Streams, p.BrokenStreams, p.WrongStreams)
	for _, kind := range load.CallerKinds {
		if n := p.StreamsOf(kind); n.Sent > 0 {
			_, _ = fmt.Fprintf(w, "%s streams of %s callers: sent %d, whole %d, broken off %d, wrong %d\n", l.Partner, kind, n.Sent, n.Whole,
				n.Broken, n.Wrong)
		}
	}
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
