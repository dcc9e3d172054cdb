//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// setUp starts the replicas of a service, one a zone, and a gateway.
func setUp(w *world, service string, bounds map[string]any) ([]*replica, *gateway, error) {
	w.putConfig()
	var list []*replica
	for i, zone := range []string{"esgueira", "cacia", "ilhavo"} {
		r, err := w.startReplica("i-"+service+"-"+string(rune('a'+i)), service, zone)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, r)
	}
	g, err := w.startGateway("edge-esgueira-1", bounds)
	return list, g, err
}

// traffic sends calls at an interval until a time, and returns them once all have ended.
func traffic(w *world, g *gateway, until time.Time, interval time.Duration, next func() *call) []*call {
	var all []*call
	var sending sync.WaitGroup
	for time.Now().Before(until) {
		c := next()
		all = append(all, c)
		sending.Go(func() { c.send(w, g.frontend) })
		time.Sleep(interval)
	}
	sending.Wait()
	return all
}

// cutAtPlannedEnd has slow replicas end as planned while they still answer, one after the other, each replaced before:
// each says that it leaves, serves on for the drain time and a little longer, and ends. The answers have no length, so
// they end with their connections.
func cutAtPlannedEnd(w *world, trouble bool) (bool, error) {
	const drainTime, longer, rounds = 2 * time.Second, 50 * time.Millisecond, 12
	_, g, err := setUp(w, "fio", smallBounds())
	if err != nil {
		return false, err
	}
	other, err := w.startGateway("edge-cacia-1", smallBounds())
	if err != nil {
		return false, err
	}
	next := func() *call {
		return newCall(http.MethodPost, "/entrega/7?ms=160&pieces=8&framing=close", 4*time.Second)
	}
	broken := false
	for i := range rounds {
		leaving := w.replicas[i]
		if _, err := w.startReplica("i-new-"+string(rune('a'+i)), "fio", leaving.zone); err != nil {
			return false, err
		}
		// The new replica is known before the old one leaves.
		traffic(w, g, time.Now().Add(3*time.Second), 100*time.Millisecond, next)
		leaving.slow(12)
		w.note("replica %s turns slow: its work takes 12 times as long", leaving.id)
		var ending sync.WaitGroup
		if trouble {
			at := w.drain(leaving)
			ending.Go(func() {
				time.Sleep(time.Until(at.Add(drainTime + longer)))
				w.end(leaving)
			})
		}
		var byOther []*call
		var sending sync.WaitGroup
		sending.Go(func() { byOther = traffic(w, other, time.Now().Add(1500*time.Millisecond), 50*time.Millisecond, next) })
		all := traffic(w, g, time.Now().Add(1500*time.Millisecond), 50*time.Millisecond, next)
		sending.Wait()
		ending.Wait()
		if trouble {
			w.forget(leaving)
		}
		leaving.slow(1)
		for _, c := range append(all, byOther...) {
			if c.status == http.StatusOK && c.complete && c.body != bodyOf(c.id) {
				ran, finished := w.runsOf(c.id)
				w.note("MIXED: %s got 200, complete, with %d of the %d bytes of its answer; ran at %v, ended by %v", c.id, len(c.body), bodySize, ran, finished)
				broken = true
			}
		}
	}
	return broken, nil
}

// streamCutAtPlannedEnd has replicas end as planned while they still send streams that may not be resumed, one after the
// other, each replaced before. The streams have no length, so they end with their connections.
func streamCutAtPlannedEnd(w *world, trouble bool) (bool, error) {
	const drainTime, longer, rounds, events = 2 * time.Second, 50 * time.Millisecond, 5, 24
	_, g, err := setUp(w, "redactor", smallBounds())
	if err != nil {
		return false, err
	}
	next := func() *call {
		return newCall(http.MethodPost, "/traducao/7?ms=2880&pieces=24&framing=close&stream=1", 8*time.Second)
	}
	broken := false
	for i := range rounds {
		leaving := w.replicas[i]
		if _, err := w.startReplica("i-new-"+string(rune('a'+i)), "redactor", leaving.zone); err != nil {
			return false, err
		}
		// The new replica is known before the old one leaves.
		time.Sleep(3 * time.Second)
		var all []*call
		var sending sync.WaitGroup
		sending.Go(func() { all = traffic(w, g, time.Now().Add(2*time.Second), 100*time.Millisecond, next) })
		time.Sleep(500 * time.Millisecond)
		if trouble {
			at := w.drain(leaving)
			time.Sleep(time.Until(at.Add(drainTime + longer)))
			w.end(leaving)
			w.forget(leaving)
		}
		sending.Wait()
		for _, c := range all {
			if c.status == http.StatusOK && c.complete && c.body != streamOf(c.id, events) {
				ran, finished := w.runsOf(c.id)
				w.note("ORDER: %s got 200, complete, with %d of the %d events; ran at %v, ended by %v", c.id, strings.Count(c.body, "\n\n"), events, ran, finished)
				broken = true
			}
		}
	}
	return broken, nil
}

// stopBoundRaised raises grace_period_s from 4 to the 8 of the sheet with a SIGHUP and then stops the gateway with a
// SIGTERM, while clients that still have its address send requests that take 4.6 s.
func stopBoundRaised(w *world, trouble bool) (bool, error) {
	first := smallBounds()
	if trouble {
		first["grace_period_s"] = 4
	}
	_, g, err := setUp(w, "redactor", first)
	if err != nil {
		return false, err
	}
	if trouble {
		if err := w.change(g, smallBounds()); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	stopped := time.Now().Add(time.Second)
	var stopping sync.WaitGroup
	var failed error
	stopping.Go(func() {
		time.Sleep(time.Until(stopped))
		stopped = time.Now()
		failed = g.command.Process.Signal(syscall.SIGTERM)
		w.note("platform: SIGTERM to %s, grace_period_s 8", g.name)
	})
	all := traffic(w, g, stopped.Add(2*time.Second), 100*time.Millisecond, func() *call {
		return newCall(http.MethodPost, "/resumo/7?ms=4600&pieces=24&framing=chunks&stream=1", 8*time.Second)
	})
	stopping.Wait()
	if failed != nil {
		return false, failed
	}
	// Of the excuses of the rule: the replica broke off, or was still working in the last sixth of grace_period_s.
	const lastSixth = 8 * time.Second * 5 / 6
	broken := false
	for _, c := range all {
		ran, finished := w.runsOf(c.id)
		lost := c.status == 0 || c.status == http.StatusOK && !c.complete
		if lost && len(ran) > 0 && len(finished) == 0 && c.endedAt.Sub(stopped) < lastSixth {
			w.note("LOST: %s, sent %.2f s after SIGTERM, was cut %.2f s after it; ran at %v", c.id, c.sentAt.Sub(stopped).Seconds(), c.endedAt.Sub(stopped).Seconds(), ran)
			broken = true
		}
	}
	return broken, nil
}

// drainLowered lowers drain_timeout_ms from 5,000 to the 2,000 of the sheet with a SIGHUP at each of six gateways. Then
// replicas leave, one after the other, each replaced after its end.
func drainLowered(w *world, trouble bool) (bool, error) {
	const drainTime, slack, rounds, gateways = 2 * time.Second, 50 * time.Millisecond, 20, 6
	first := smallBounds()
	if trouble {
		first["drain_timeout_ms"] = 5000
	}
	_, _, err := setUp(w, "fio", first)
	if err != nil {
		return false, err
	}
	for i := 1; i < gateways; i++ {
		if _, err := w.startGateway(fmt.Sprintf("edge-esgueira-%d", i+1), first); err != nil {
			return false, err
		}
	}
	if trouble {
		for _, g := range w.gateways {
			if err := w.change(g, smallBounds()); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i := range rounds {
		time.Sleep(time.Second + rand.N(1500*time.Millisecond))
		leaving := w.replicas[i]
		at := w.drain(leaving)
		time.Sleep(1500 * time.Millisecond)
		var sending sync.WaitGroup
		for _, g := range w.gateways {
			sending.Go(func() {
				traffic(w, g, at.Add(2600*time.Millisecond), 60*time.Millisecond, func() *call {
					return newCall(http.MethodGet, "/aviso/7?ms=60", 4*time.Second)
				})
			})
		}
		sending.Wait()
		leaving.mu.Lock()
		late := 0
		var last time.Duration
		for _, x := range leaving.runs {
			if after := x.at.Sub(at); after > drainTime+slack {
				late++
				last = max(last, after)
			}
		}
		leaving.mu.Unlock()
		if late > 0 {
			w.note("DRAIN: %d requests reached %s up to %.2f s after the store had taken that it leaves", late, leaving.id, last.Seconds())
			broken = true
		}
		w.end(leaving)
		w.forget(leaving)
		if _, err := w.startReplica("i-new-"+string(rune('a'+i)), "fio", leaving.zone); err != nil {
			return false, err
		}
	}
	return broken, nil
}
