package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

const (
	stopBound = 8 * time.Second
	// lateFrom is from when on in a stop a request counts as late. A request that is sent later and is passed on has to be answered.
	lateFrom = 3 * time.Second
	// atOnce is how soon a request is refused that can't be served any more.
	atOnce = 500 * time.Millisecond
)

// TestRequestsLateInAPlannedStop guards against requests that a stopping gateway passes on and cuts off at its end, or holds although it won't serve them.
func TestRequestsLateInAPlannedStop(t *testing.T) {
	const calls, replicas = 160, 16
	seed, err := strconv.ParseUint(os.Getenv("GRANITEKNOT_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	random := rand.New(rand.NewPCG(seed, 0))
	store, all := startWorking(t, replicas)
	g := startGateway(t, 0, store, stopBound)
	g.awaitServing(t)
	began := time.Now().Add(600 * time.Millisecond)
	var callers group.Group
	var drawn []*stopCall
	for i := range calls {
		c := newStopCall(i, random)
		drawn = append(drawn, c)
		callers.Go(func(ctx context.Context) { c.run(ctx, g.requests, began) })
	}
	time.Sleep(time.Until(began))
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.command.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	if took := time.Since(began); took > stopBound {
		t.Errorf("the gateway ended after %v", took)
	}
	callers.Wait()
	ran := map[string]bool{}
	for _, r := range all {
		for _, x := range r.Ran() {
			ran[platformtest.RequestID(x)] = true
		}
	}
	outcomes := map[string]int{}
	late := lateFrom + g.leftAt(t).Sub(began)
	for _, c := range drawn {
		outcomes[fmt.Sprintf("status %d, ran %v", c.status, ran[c.id])]++
		c.check(t, ran[c.id], late)
	}
	t.Logf("seed %d: %v, stopped %v after the signal", seed, outcomes, late-lateFrom)
}

// TestStopGoesByTheReloadedBound guards against a stop that goes by the bound of the process's start and cuts requests off.
func TestStopGoesByTheReloadedBound(t *testing.T) {
	const first, work, sent = 3 * time.Second, 5 * time.Second, 100 * time.Millisecond
	store, _ := startWorking(t, 1)
	g := startGateway(t, 1, store, first)
	g.awaitServing(t)
	g.write(t, stopBound)
	if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	g.awaitLine(t, `"msg":"reloaded"`)
	c := &stopCall{id: "long", route: "once", head: sent, end: sent, work: work, wait: 20 * time.Second}
	var caller group.Group
	began := time.Now()
	caller.Go(func(ctx context.Context) { c.run(ctx, g.requests, began) })
	time.Sleep(2 * sent)
	if err := g.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := g.command.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
	caller.Wait()
	if c.status != http.StatusOK {
		t.Errorf("not served: %v", c)
	}
}
