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
	// keepLook is how often a sidecar looks whether it has to be the keeper.
	keepLook = 100 * time.Millisecond
	// keeperSilence is how long a keeper may be silent before rank 0 takes its
	// place; each further rank waits keeperTurn longer. A keeper looks at its
	// ranks every 60 ms, or every 250 ms while the group does not run.
	keeperSilence = 500 * time.Millisecond
	keeperTurn    = 150 * time.Millisecond
	// claimTurn is how much later than the rank before it a rank claims: what a
	// claim and the first look of a keeper take.
	claimTurn = 40 * time.Millisecond
	// claimTimeout bounds a claim.
	claimTimeout = 1200 * time.Millisecond
	// reportAge is how old the own rank's report may be.
	reportAge = time.Second
	// mostDoubt bounds for how long a keeper that others hear of is not replaced.
	mostDoubt = 3 * time.Second
)

// keep makes the sidecar the keeper of its group whenever the present one is
// silent for too long.
func (s *Sidecar) keep(ctx context.Context) {
	// opened is since when the group is seen to run; zero while it is not.
	var opened time.Time
	for ctx.Err() == nil {
		delay.For(ctx, keepLook)
		now := s.Clock.Now()
		report, age := s.last(now)
		if report.Group == "" || age > reportAge || !report.State.GroupRunning {
			opened = time.Time{}
			continue
		}
		if opened.IsZero() {
			opened = now
		}
		if s.due(report.Rank, opened, now) {
			s.claimAndKeep(ctx, &report, opened)
			opened = time.Time{}
		}
	}
}

// due tells whether a rank's turn has come to be the keeper.
func (s *Sidecar) due(r graniteknot.Rank, opened, now time.Time) bool {
	fence, heard := s.doer.Fence()
	if fence == 0 {
		// Nobody was heard of in this life: rank 0 begins at once.
		return r == 0 || now.Sub(opened) > 2*keeperSilence+time.Duration(r)*keeperTurn
	}
	return now.Sub(heard) > keeperSilence+time.Duration(r)*keeperTurn
}

// claim is the record that makes a sidecar the keeper; its position in the
// topic is the fence.
type claim struct {
	Box  graniteknot.BoxName     `json:"box"`
	Born graniteknot.Incarnation `json:"born"`
}

// claimAndKeep is the keeper until another one is heard of.
func (s *Sidecar) claimAndKeep(ctx context.Context, report *held.Report, opened time.Time) {
	engine, gap := s.engine(ctx)
	if engine == nil {
		return
	}
	former, told := s.doer.CoordinatorRank()
	if !told || !s.Config.FencesChecked {
		// Going on without a rank is safe only where ranks check fences.
		former = report.Rank
	}
	found := s.find(ctx, report, former)
	if !found.Complete || s.alive(report.Rank, &found) {
		return
	}
	// All others found the ranks at the same moment, when the last one answered.
	delay.For(ctx, time.Duration(report.Rank)*claimTurn)
	if !s.due(report.Rank, opened, s.Clock.Now()) {
		// Another sidecar has become the keeper meanwhile.
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
		// A claim that is added later without an answer only skips a number.
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
		OnForecast: s.takeForecast,
		Planner:    &planner.Planner{Shape: shape, Smoothing: 1},
	})
	s.Log.Info("keeping", slog.String("group", string(report.Group)), slog.Int64("fence", int64(ranks.FenceOf(at))), slog.Int("ranks", report.GroupSize))
	fenced := k.Run(ctx)
	s.takeForecast(ranks.Forecast{})
	s.Log.Info("not keeping", slog.String("group", string(report.Group)), slog.Int64("fence", int64(ranks.FenceOf(at))), slog.Int64("other", int64(fenced)))
}

// engine reads the own service's engine and the longest useful pause from the
// settings; nil when they can't be read now, or the engine has no experts.
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

// alive tells whether the keeper that this sidecar does not hear is heard by others:
// it is then busy, or the way from it is disturbed, and a new keeper would only begin
// anew what it is doing. By one watcher's silence alone two boxes may take turns where
// a keeper's link is full.
func (s *Sidecar) alive(r graniteknot.Rank, found *ranks.Discovery) bool {
	fence, heard := s.doer.Fence()
	silent := s.Clock.Since(heard)
	if fence == 0 || silent > keeperSilence+time.Duration(r)*keeperTurn+mostDoubt {
		return false
	}
	alive := found.CoordinatorAlive()
	if alive {
		s.Log.Info("keeper heard by others", slog.Int64("fence", int64(fence)), slog.Int("heard", found.HeardCoordinator),
			slog.Int("answered", found.Answered), eventlog.Milliseconds("silent", silent))
	}
	return alive
}

// find asks all sidecars which rank is theirs.
func (s *Sidecar) find(ctx context.Context, report *held.Report, former graniteknot.Rank) ranks.Discovery {
	places := []ranks.Endpoint{{Sidecar: s.Config.Peers, Target: s.Config.Target, Zone: s.Config.Zone}}
	for _, m := range s.Members.Members(presence.RoleSidecar, s.Config.Box) {
		places = append(places, ranks.Endpoint{Sidecar: m.PeerAddress, Target: m.Target, Zone: m.Zone})
	}
	return ranks.Discover(ctx, report.Group, report.GroupSize, former, keeperSilence, places, s.socket, s.Rank)
}
