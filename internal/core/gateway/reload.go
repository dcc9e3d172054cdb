package gateway

import (
	"log/slog"

	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
)

// Reload takes new settings into force. Addresses and names stay as they are
// until the process starts anew.
func (g *Gateway) Reload(c *directconf.Config) {
	old := g.reloadable.Swap(c)
	g.Log.Info("reloaded", slog.Bool("changed", *old != *c), slog.Bool("needs_restart", needsRestart(g.Config, c)),
		eventlog.Milliseconds("key_age", c.KeyAge), eventlog.Milliseconds("answer_life", c.AnswerLife),
		slog.Bool("keys_unproved", c.KeysUnproved), eventlog.Milliseconds("stop_bound", c.Stop), slog.Float64("retry_extra", c.RetryExtra),
		slog.Float64("retry_percent", c.RetryPercent))
}

// needsRestart tells whether settings differ that are fixed for a process's
// life.
func needsRestart(now, next *directconf.Config) bool {
	return now.Box != next.Box || now.Zone != next.Zone || now.Requests != next.Requests || now.Readiness != next.Readiness ||
		now.Directory != next.Directory || now.Peers != next.Peers || now.Metrics != next.Metrics || now.Store != next.Store
}
