package gateway

import (
	"log/slog"

	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
)

// Reload applies new settings. Addresses and names stay in effect until the process restarts.
func (g *Gateway) Reload(c *directconf.Config) {
	old := g.reloadable.Swap(c)
	g.Log.Info("reloaded", slog.Bool("changed", *old != *c), slog.Bool("needs_restart", needsRestart(g.Config, c)),
		eventlog.Milliseconds("key_age", c.KeyAge), eventlog.Milliseconds("answer_life", c.AnswerLife),
		slog.Bool("keys_unproved", c.KeysUnproved), eventlog.Milliseconds("stop_bound", c.Stop), slog.Float64("retry_extra", c.RetryExtra),
		slog.Float64("retry_percent", c.RetryPercent))
}

// needsRestart reports whether settings differ that are fixed for the life of a process.
func needsRestart(current, next *directconf.Config) bool {
	return current.Box != next.Box || current.Zone != next.Zone || current.Requests != next.Requests || current.Readiness != next.Readiness ||
		current.Directory != next.Directory || current.Peers != next.Peers || current.Metrics != next.Metrics || current.Store != next.Store ||
		current.SlowPeers != next.SlowPeers || current.Zones != next.Zones
}
