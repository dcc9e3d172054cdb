package gateway

import (
	"context"
	"time"

	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/delay"
)

const (
	// farewell is how long a leaving gateway still takes connections: callers
	// keep its address until their answers run out, and skip it once it refuses.
	farewell = 2500 * time.Millisecond
	// lastPart is what is left of a planned stop for breaking off what did not
	// end.
	lastPart = 700 * time.Millisecond
)

// Stop is a planned stop: the gateway goes out of the answers, serves what is
// open and what still comes, and ends within the bound in its settings.
func (g *Gateway) Stop(ctx context.Context) {
	began := time.Now()
	g.leaving.Store(true)
	g.Log.Info("leaving", eventlog.Milliseconds("bound", g.bounds.Load().Stop))
	g.hello()
	delay.For(ctx, farewell)
	bounded, cancel := context.WithDeadline(ctx, began.Add(g.bounds.Load().Stop-lastPart))
	defer cancel()
	g.servers.close(bounded)
	g.group.Stop()
	g.Forwarder.Stop()
	g.socket.Close()
	g.Pool.Close()
	g.Log.Info("stopped", eventlog.Milliseconds("took", time.Since(began)))
}
