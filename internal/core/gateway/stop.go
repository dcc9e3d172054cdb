package gateway

import (
	"context"
	"time"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/delay"
)

const (
	// drainDelay is how long a leaving gateway still takes connections: callers
	// keep its address until their answers run out, and skip it once it refuses.
	drainDelay = 2500 * time.Millisecond
	// abortReserve is what is left of a planned stop for breaking off what did not
	// end.
	abortReserve = 700 * time.Millisecond
)

// Stop is a planned stop: the gateway goes out of the answers, serves what is
// open and what still comes, and ends within the bound in its settings.
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
