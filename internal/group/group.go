// Package group starts goroutines whose end can be waited for. Nothing in this
// module starts a goroutine in another way.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines with one context. The zero value works. Unlike
// a sync.WaitGroup it may be waited for while goroutines are still started.
type Group struct {
	mu     sync.Mutex
	ctx    context.Context //nolint:containedctx // It is the group's own life.
	cancel context.CancelFunc
	// running counts the goroutines that have not ended.
	running int
	// idle is closed when running falls to 0; nil while nobody waits.
	idle chan struct{}
}

// Context returns the group's context, which Stop ends.
func (g *Group) Context() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.context()
}

// context is called with the lock held.
func (g *Group) context() context.Context {
	if g.ctx == nil {
		g.ctx, g.cancel = context.WithCancel(context.Background())
	}
	return g.ctx
}

// Go runs f in a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.mu.Lock()
	ctx := g.context()
	g.running++
	g.mu.Unlock()
	var starter sync.WaitGroup
	starter.Go(func() {
		defer g.done()
		f(ctx)
	})
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait blocks until no goroutine of the group runs.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
}

// Stop ends the group's context and waits for its goroutines.
func (g *Group) Stop() {
	g.mu.Lock()
	g.context()
	cancel := g.cancel
	g.mu.Unlock()
	cancel()
	g.Wait()
}
