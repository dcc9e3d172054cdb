package gateway

import (
	"context"
	"time"

	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/delay"
)

const (
	// youngFor is how long after its start a gateway holds requests until it knows a
	// configuration: about twice what the first read takes where all start at once. Most of
	// those who come right after a loss of power have no other try left. Where the store is away they are refused after that
	// time, and later ones at once.
	youngFor = 700 * time.Millisecond
	// youngLook is the time between two looks.
	youngLook = 10 * time.Millisecond
)

// tree returns the configuration in force and its age; nil where none is known, and this
// process has not just started.
func (g *Gateway) tree(ctx context.Context) (*catalog.Tree, time.Duration) {
	for {
		now := g.Clock.Now()
		tree, age := g.Trees.Current(now)
		if tree != nil || now.Sub(g.started) > youngFor || ctx.Err() != nil {
			return tree, age
		}
		delay.For(ctx, youngLook)
	}
}
