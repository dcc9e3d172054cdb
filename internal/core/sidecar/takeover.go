package sidecar

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/planner"
)

const (
	// takeoverCheckPeriod is the interval at which a sidecar checks whether to become coordinator.
	takeoverCheckPeriod = 100 * time.Millisecond
	// coordinatorTimeout is how long a coordinator may be silent before rank 0 replaces it; each
	// further rank waits takeoverStagger longer. A coordinator reads its ranks every 60 ms, or every
	// 250 ms while the group does not run.
	coordinatorTimeout = 500 * time.Millisecond
	takeoverStagger    = 150 * time.Millisecond
	// claimStagger is how much later than the rank before it a rank claims: the duration of a claim
	// and of the first read of a coordinator.
	claimStagger = 40 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = 1200 * time.Millisecond
	// maxReportAge is the maximum age of the own rank's report.
	maxReportAge = time.Second
	// maxTakeoverDelay bounds for how long a coordinator that other sidecars hear is not replaced.
	maxTakeoverDelay = 3 * time.Second
)

// coordinate makes the sidecar the coordinator of its group whenever the present one is silent for
// too long.
func (s *Sidecar) coordinate(ctx context.Context) {
	// opened is since when the group runs; zero while it does not.
	var opened time.Time
	for ctx.Err() == nil {
		delay.For(ctx, takeoverCheckPeriod)
		now := s.Clock.Now()
		report, age := s.lastReport(now)
		if report.Group == "" || age > maxReportAge || !report.State.GroupRunning {
			opened = time.Time{}
			continue
		}
		if opened.IsZero() {
			opened = now
		}
		if s.mayTakeOver(report.Rank, opened, now) {
			s.claimAndCoordinate(ctx, &report, opened)
			opened = time.Time{}
		}
	}
}

// mayTakeOver reports whether it is a rank's turn to become coordinator.
func (s *Sidecar) mayTakeOver(r graniteknot.Rank, opened, now time.Time) bool {
	fence, heard := s.executor.Fence()
	if fence == 0 {
		// No coordinator was heard since this process started: rank 0 begins at once.
		return r == 0 || now.Sub(opened) > 2*coordinatorTimeout+time.Duration(r)*takeoverStagger
	}
	return now.Sub(heard) > coordinatorTimeout+time.Duration(r)*takeoverStagger
}

// claim is the record that makes a sidecar the coordinator; its position in the topic is the fence.
type claim struct {
	Box  graniteknot.BoxName     `json:"box"`
	Born graniteknot.Incarnation `json:"born"`
}

// claimAndCoordinate claims the role of coordinator and returns once another one has taken over.
func (s *Sidecar) claimAndCoordinate(ctx context.Context, report *held.Report, opened time.Time) {
	engine, gap := s.engine(ctx)
	if engine == nil {
		return
	}
	former, known := s.executor.CoordinatorRank()
	if !known || !s.Config.FencesChecked {
		// Continuing without a rank is safe only if ranks check fences.
		former = report.Rank
	}
	found := s.discover(ctx, report, former)
	if !found.Complete || s.heardByOthers(report.Rank, &found) {
		return
	}
	// All other sidecars completed discovery at the same moment, when the last rank responded.
	delay.For(ctx, time.Duration(report.Rank)*claimStagger)
	if !s.mayTakeOver(report.Rank, opened, s.Clock.Now()) {
		// Another sidecar has become the coordinator.
		return
	}
	value, err := json.Marshal(claim{Box: s.Config.Box, Born: s.Born})
	if err != nil {
		return
	}
	claiming, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	at, err := s.Store.Append(claiming, graniteknot.TopicKeepers, graniteknot.KeyedRecord{Key: string(report.Group), Value: value})
	if err != nil {
		// If the claim takes effect later, it only skips a fence.
		s.Log.Warn("keeper claim", slog.String("group", string(report.Group)), slog.String("error", err.Error()))
		return
	}
	shape := planner.Shape{
		Layers: engine.Experts.Sets, Experts: engine.Experts.Experts, Ranks: report.GroupSize, Slots: engine.Experts.Places,
	}
	k := ranks.NewCoordinator(ranks.Config{
		Fence: ranks.FenceOf(at), OwnRank: report.Rank, FormerRank: former, Engine: engine, MaxEventGap: gap, Log: s.Log, Meter: s.Meter, Members: found.Members,
		LinkRate:   s.Config.Link,
		Clock:      s.Clock,
		OnForecast: s.setForecast,
		Planner:    &planner.Planner{Shape: shape, Smoothing: 1},
	})
	s.Log.Info("keeping", slog.String("group", string(report.Group)), slog.Int64("fence", int64(ranks.FenceOf(at))), slog.Int("ranks", report.GroupSize))
	fenced := k.Run(ctx)
	s.setForecast(ranks.Forecast{})
	s.Log.Info("not keeping", slog.String("group", string(report.Group)), slog.Int64("fence", int64(ranks.FenceOf(at))), slog.Int64("other", int64(fenced)))
}

// engine reads the engine of the target's service and the longest useful pause from the settings;
// nil if they can't be read now or the engine has no experts.
func (s *Sidecar) engine(ctx context.Context) (*catalog.Engine, time.Duration) {
	page, err := s.Store.Newest(ctx, graniteknot.TopicSettings)
	if err != nil {
		s.Log.Warn("read settings", slog.String("error", err.Error()))
		return nil, 0
	}
	for _, r := range page.Records {
		tree, err := s.Translator.Tree(r)
		if err != nil {
			s.Log.Warn("malformed configuration", slog.Int64("position", r.At.Offset()), slog.String("error", err.Error()))
			continue
		}
		if tree == nil {
			continue
		}
		service := tree.Service(s.Config.TargetService)
		if service != nil && service.Engine != nil && service.Engine.Experts != nil {
			return service.Engine, tree.Gap(service.Name)
		}
	}
	return nil, 0
}

// heardByOthers reports whether other sidecars hear the coordinator that this one does not hear. It is
// then busy or its link is disturbed, and a new coordinator would only repeat its work. If a sidecar
// relied on its own observation alone, two boxes could replace each other while a coordinator's link
// is full.
func (s *Sidecar) heardByOthers(r graniteknot.Rank, found *ranks.Discovery) bool {
	fence, heard := s.executor.Fence()
	silent := s.Clock.Since(heard)
	if fence == 0 || silent > coordinatorTimeout+time.Duration(r)*takeoverStagger+maxTakeoverDelay {
		return false
	}
	alive := found.CoordinatorAlive()
	if alive {
		s.Log.Info("keeper heard by others", slog.Int64("fence", int64(fence)), slog.Int("heard", found.HeardCoordinator),
			slog.Int("answered", found.Answered), eventlog.Milliseconds("silent", silent))
	}
	return alive
}

// discover asks all sidecars for the rank of their target.
func (s *Sidecar) discover(ctx context.Context, report *held.Report, former graniteknot.Rank) ranks.Discovery {
	endpoints := []ranks.Endpoint{{Sidecar: s.Config.Peers, Target: s.Config.Target, Zone: s.Config.Zone}}
	for _, m := range s.Members.Members(presence.RoleSidecar, s.Config.Box) {
		endpoints = append(endpoints, ranks.Endpoint{Sidecar: m.PeerAddress, Target: m.Target, Zone: m.Zone})
	}
	return ranks.Discover(ctx, report.Group, report.GroupSize, former, coordinatorTimeout, endpoints, s.socket, s.Rank)
}
