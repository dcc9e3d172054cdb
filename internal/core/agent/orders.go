package agent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/orders"
	"graniteknot.org/go/settings"
)

// waves is in how many parts the targets of a service take a new version, so
// that at most one in so many is drained at a time.
const waves = 4

// wanted is what the settings want of the target.
type wanted struct {
	version string
	// since is when this agent saw it first.
	since time.Time
}

// orderStep makes the target have the version that the settings want, when the
// turn of its wave has come. While services that share the target want
// different ones, nothing is ordered.
func (a *Agent) orderStep(ctx context.Context) {
	service := a.wantingService()
	if service == nil || a.core.Leaving() {
		return
	}
	if a.wanted.version != service.Version {
		a.wanted = wanted{version: service.Version, since: time.Now()}
	}
	wave := slices.Index(service.Targets, a.node.Config.Listen) % waves
	if time.Since(a.wanted.since) < time.Duration(wave)*service.RollInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*orders.Life)
	defer cancel()
	if err := a.orders.Want(ctx, graniteknot.OrderLoad, service.Version); err != nil {
		klog.ErrorS(err, "the target did not take its version", "box", a.node.Config.Box, "version", service.Version)
	}
}

// wantingService returns a service at this target that names a version; nil if
// none does, or two do not agree.
func (a *Agent) wantingService() *settings.ServiceView {
	var found *settings.ServiceView
	for _, s := range a.node.Store.Tree().ServicesAt(a.node.Config.Listen) {
		if s.Version == "" {
			continue
		}
		if found != nil && s.Version != found.Version {
			klog.InfoS("services at this target want different versions", "box", a.node.Config.Box,
				"one", found.Version, "other", s.Version)
			return nil
		}
		found = s
	}
	return found
}

// warm runs one small piece of work, so that the first caller after an order
// does not pay for what the target does at its first step.
func (a *Agent) warm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	work := graniteknot.Work{Request: "warm-up", Body: []byte(`{"prompt":"warm-up","max_tokens":1,"stream":true}`)}
	if err := a.target.Run(ctx, work, func(graniteknot.Piece) error { return nil }); err != nil {
		klog.InfoS("the target did not warm up", "box", a.node.Config.Box, "err", err)
	}
}

// checksFences tells whether all services at this target say that it does.
func (a *Agent) checksFences() bool {
	services := a.node.Store.Tree().ServicesAt(a.node.Config.Listen)
	return !slices.ContainsFunc(services, func(s *settings.ServiceView) bool { return !s.ChecksFences })
}
