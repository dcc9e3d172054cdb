//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-bound-raised"] = stopBoundRaised }

// stopBoundRaised raises grace_period_s from 4 to the 8 of the sheet with a SIGHUP and then stops the gateway with a
// SIGTERM, while clients that still have its address send it the sheet's streams.
func stopBoundRaised(w *world, trouble bool) (bool, error) {
	first := smallBounds()
	if trouble {
		first["grace_period_s"] = 4
	}
	if err := setUp(w, 1, first); err != nil {
		return false, err
	}
	g := w.gateways[0]
	if trouble {
		if err := w.change(g, smallBounds()); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	stopped := time.Now().Add(3 * time.Second)
	var stopping sync.WaitGroup
	var failed error
	stopping.Go(func() {
		time.Sleep(time.Until(stopped))
		failed = g.command.Process.Signal(syscall.SIGTERM)
		w.note("platform: SIGTERM to %s, grace_period_s 8", g.name)
	})
	// The gateway takes new connections for 2.5 s more.
	all := traffic(w, g, stopped.Add(2400*time.Millisecond), func() *call { return streamCall("resumo", "chunks", slow) })
	stopping.Wait()
	if failed != nil {
		return false, failed
	}
	// Of the excuses of the rule: the replica broke off, the deadline passed, or the replica was still working in the last
	// sixth of grace_period_s.
	const lastSixth = 8 * time.Second * 5 / 6
	broken := false
	for _, c := range all {
		ran, finished := w.runsOf(c.id)
		lost := c.status == 0 || c.status == http.StatusOK && !c.complete
		inTime := c.endedAt.Sub(c.sentAt) < streamDeadline && c.endedAt.Sub(stopped) < lastSixth
		if lost && len(ran) > 0 && len(finished) == 0 && inTime {
			w.note("LOST: %s, sent %.2f s after SIGTERM, was cut %.2f s after it; ran at %v", c.id, c.sentAt.Sub(stopped).Seconds(), c.endedAt.Sub(stopped).Seconds(), ran)
			broken = true
		}
	}
	return broken, nil
}
