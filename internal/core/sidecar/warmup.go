package sidecar

import (
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quota"
)

// Warming is a target whose response to ID may state how long it is cold. Ranks may implement it.
type Warming interface {
	// Warmup returns what the last response to ID stated.
	Warmup() quota.StatedWarmup
}

// warmupSends is how often a warm-up is sent, once with each report, since datagrams may be lost.
const warmupSends = 3

// pendingWarmup is what the target stated about its warm-up, and how often it is still to be sent. The
// zero value has nothing to send.
type pendingWarmup struct {
	life  catalog.Life
	left  time.Duration
	heard time.Time
	sends int
}

// recordWarmup records what the target's response to ID stated.
func (w *lifeTracker) recordWarmup(s *Sidecar, life catalog.Life, now time.Time) {
	w.warmup = pendingWarmup{}
	warming, ok := s.own.(Warming)
	if !ok {
		return
	}
	stated := warming.Warmup()
	if !stated.Present {
		return
	}
	w.warmup = pendingWarmup{life: life, left: stated.Left, heard: now, sends: warmupSends}
	s.Log.Info("target warm-up", slog.String("replica", life.String()), eventlog.Milliseconds("warmup", stated.Left))
}

// sendWarmup sends the target's warm-up to gateways, in the message by which gateways exchange limits.
func (s *Sidecar) sendWarmup(n *pendingWarmup, to []graniteknot.Address, now time.Time) {
	if n.sends == 0 || len(to) == 0 {
		return
	}
	n.sends--
	notice := quota.WarmupNotice(quota.KeyOf(n.life), n.left)
	notice.Age = max(0, now.Sub(n.heard).Milliseconds())
	body, err := quota.Encode(&quota.Message{Told: []quota.Notice{notice}})
	if err != nil {
		s.Log.Warn("target warm-up", slog.String("error", err.Error()))
		return
	}
	s.socket.Send(presence.Message{Quota: body}, to)
}
