package gateway

import (
	"context"
	"time"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/graceful"
	"graniteknot.org/go/internal/delay"
)

const (
	// drainDelay is how long a leaving gateway still accepts connections: callers use its address
	// until their cached answers expire, and skip it once it refuses connections.
	drainDelay = 2500 * time.Millisecond
	// answerTime is how long requests that are ended at the shutdown's end may take to answer their callers.
	answerTime = 300 * time.Millisecond
)

// Stop shuts the gateway down gracefully: it leaves the address answers, serves open requests, and those that
// arrive later if they are sure to end in time, and returns within the configured stop bound.
func (g *Gateway) Stop(ctx context.Context) {
	began := time.Now()
	schedule := &graceful.Schedule{Began: g.Clock.Now(), Bound: g.reloadable.Load().Stop}
	g.shutdown.Store(schedule)
	g.leaving.Store(true)
	g.bodyReads.shorten()
	g.Log.Info("leaving", eventlog.Milliseconds("bound", schedule.Bound))
	g.sendHeartbeat()
	delay.For(ctx, drainDelay)
	bounded, cancel := context.WithTimeout(ctx, g.Clock.Until(schedule.AbortAt()))
	defer cancel()
	g.servers.shutdown(bounded, g.Forwarder.ExpireAll)
	g.group.Stop()
	g.Forwarder.Stop()
	g.socket.Close()
	g.Pool.Close()
	g.Log.Info("stopped", eventlog.Milliseconds("took", time.Since(began)))
}

// forwardBy returns until when a request may be forwarded that has to be answered by a time; zero stands for none in
// both.
func (g *Gateway) forwardBy(respondBy time.Time) time.Time {
	schedule := g.shutdown.Load()
	if schedule == nil {
		return time.Time{}
	}
	return schedule.ForwardBy(respondBy)
}
