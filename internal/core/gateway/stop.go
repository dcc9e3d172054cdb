package gateway

import (
	"context"
	"time"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/delay"
)

const (
	// drainDelay is how long a leaving gateway still accepts connections: callers use its address
	// until their cached answers expire, and skip it once it refuses connections.
	drainDelay = 2500 * time.Millisecond
	// abortReserve is the part of the shutdown bound that is reserved for aborting requests that
	// are still open.
	abortReserve = 700 * time.Millisecond
)

// Stop shuts the gateway down gracefully: it leaves the address answers, serves open and late
// requests, and returns within the configured stop bound.
func (g *Gateway) Stop(ctx context.Context) {
	began := time.Now()
	g.leaving.Store(true)
	g.Log.Info("leaving", eventlog.Milliseconds("bound", g.reloadable.Load().Stop))
	g.sendHeartbeat()
	delay.For(ctx, drainDelay)
	bounded, cancel := context.WithDeadline(ctx, began.Add(g.reloadable.Load().Stop-abortReserve))
	defer cancel()
	g.servers.shutdown(bounded)
	g.group.Stop()
	g.Forwarder.Stop()
	g.socket.Close()
	g.Pool.Close()
	g.Log.Info("stopped", eventlog.Milliseconds("took", time.Since(began)))
}
