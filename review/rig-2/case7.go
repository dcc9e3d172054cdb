//go:build review

package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["drain-lowered"] = drainLowered }

// drainLowered lowers drain_timeout_ms from 5,000 to the 2,000 of the sheet with a SIGHUP at four of six gateways; the
// other two have 2,000 from the start. Then replicas are replaced, again and again.
func drainLowered(w *world, trouble bool) (bool, error) {
	const releases, reloaded, slack = 18, 4, 20 * time.Millisecond
	first := smallBounds()
	if trouble {
		first["drain_timeout_ms"] = 5000
	}
	if err := setUp(w, reloaded, first); err != nil {
		return false, err
	}
	for i := reloaded; i < siteGateways; i++ {
		if _, err := w.startGateway("edge-late-"+string(rune('0'+i)), smallBounds()); err != nil {
			return false, err
		}
	}
	if trouble {
		for _, g := range w.gateways[:reloaded] {
			if err := w.change(g, smallBounds()); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	until := time.Now().Add(releases * 4700 * time.Millisecond)
	go func() {
		defer close(done)
		trafficAtAll(w, until, func() *call { return streamCall("resumo", "chunks", quick) })
	}()
	var left []departure
	for i := 0; time.Now().Add(6 * time.Second).Before(until); i++ {
		list, err := release(w, i*released, time.Second)
		if err != nil {
			return false, err
		}
		left = append(left, list...)
		time.Sleep(rand.N(500 * time.Millisecond))
	}
	<-done
	broken := false
	for _, x := range left {
		late, last := 0, time.Duration(0)
		x.replica.mu.Lock()
		for _, run := range x.replica.runs {
			if after := run.at.Sub(x.at); after > drainTime+slack {
				late++
				last = max(last, after)
			}
		}
		x.replica.mu.Unlock()
		if late > 0 {
			w.note("DRAIN: %d requests reached %s up to %.2f s after the store had taken that it leaves", late, x.replica.id, last.Seconds())
			broken = true
		}
	}
	w.note("%d departures", len(left))
	return broken, nil
}
