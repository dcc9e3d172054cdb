package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"graniteknot.org/go/internal/group"
)

const (
	// applyTime is how long after it was written a version may come into force; seriesSlack allows for
	// a busy machine.
	applyTime   = 3 * time.Second
	seriesSlack = 1500 * time.Millisecond
	// versionInterval is the longest time between two versions, seriesInterval that after a series.
	versionInterval = 400 * time.Millisecond
	seriesInterval  = 2500 * time.Millisecond
	// largeRoutes is the number of additional routes in a large version.
	largeRoutes = 1400
	// seriesCallers is the number of callers that use keys of the latest versions that have to be in
	// force; they choose among newestKeys of them.
	seriesCallers = 3
	newestKeys    = 6
	// seriesStream is the random stream for series.
	seriesStream = feedbackStream + 7
)

// series writes versions in series, each with one more key, until ctx is done.
func (w *world) series(ctx context.Context, choose func(int) int) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.routes = largeRoutes * (choose(5) / 4)
		w.mu.Unlock()
		for range 5 + choose(20) {
			w.addKey()
			k := w.newestKey()
			w.configure()
			w.mu.Lock()
			k.added = time.Now()
			w.mu.Unlock()
			wait(ctx, time.Duration(choose(int(versionInterval))))
		}
		wait(ctx, time.Duration(choose(int(seriesInterval))))
	}
}

// appliedKey returns a recent key that has to be in force; nil if there is none.
func (w *world) appliedKey(choose func(int) int) *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	over := time.Now().Add(-applyTime - seriesSlack)
	var settled []*key
	for i := len(w.keys) - 1; i >= 0 && len(settled) < newestKeys; i-- {
		if k := w.keys[i]; !k.added.IsZero() && k.added.Before(over) && k.removed.IsZero() {
			settled = append(settled, k)
		}
	}
	if len(settled) == 0 {
		return nil
	}
	return settled[choose(len(settled))]
}

// callWithAppliedKeys starts callers that use keys that have to be in force.
func callWithAppliedKeys(ctx context.Context, o *Options, w *world, gateways []*process, load *group.Group) []*caller {
	var out []*caller
	for i := range seriesCallers {
		choose := rand.New(rand.NewPCG(o.Seed, seriesStream+1+uint64(i))).IntN
		c := newCaller(0, w, choose)
		c.name = fmt.Sprint("settled-", i)
		out = append(out, c)
		load.Go(func(context.Context) {
			for n := 0; ctx.Err() == nil; n++ {
				k := w.appliedKey(choose)
				if k != nil {
					c.key = func() *key { return k }
					c.one(ctx, n, gateways[choose(len(gateways))])
				}
				wait(ctx, 10*time.Millisecond)
			}
		})
	}
	return out
}

// checkApplied finds callers whose key was rejected as unknown although its version had to be in force.
// A gateway that can't know must not reject it so, whether it can read the store or not.
func checkApplied(c *call) []Finding {
	if c.key.added.IsZero() || c.status != http.StatusUnauthorized || !c.stable || !c.key.removed.IsZero() {
		return nil
	}
	late := c.sent.Sub(c.key.added)
	if late < applyTime+seriesSlack {
		return nil
	}
	return []Finding{{"changes come into force", c.id, fmt.Sprintf("%s did not know a key %v after its version was written", c.gateway.box, late)}}
}

// keyUse identifies a key at a gateway.
type keyUse struct {
	key     *key
	gateway *process
}

// checkVersionsDoNotRegress finds gateways that rejected a key as unknown after they had accepted it
// in the same life of the process.
func checkVersionsDoNotRegress(calls []*call) []Finding {
	first := map[keyUse]time.Time{}
	for _, c := range calls {
		at := keyUse{c.key, c.gateway}
		if before, ok := first[at]; c.status == http.StatusOK && (!ok || c.ended.Before(before)) {
			first[at] = c.ended
		}
	}
	var out []Finding
	for _, c := range calls {
		knew, ok := first[keyUse{c.key, c.gateway}]
		if !ok || c.status != http.StatusUnauthorized || !c.key.removed.IsZero() || !c.sent.After(knew) || c.gateway.restarted(knew, c.ended) {
			continue
		}
		out = append(out, Finding{"versions do not go back", c.id, fmt.Sprintf("%s did not know a key %v after it had answered with it", c.gateway.box, c.sent.Sub(knew))})
	}
	return out
}
