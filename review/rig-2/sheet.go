//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The figures of the small site's sheet.
const (
	siteReplicas = 12
	siteGateways = 6
	// streamsPerSecond is the sum of the three kinds of streams, at all gateways.
	streamsPerSecond = 56
	streamDeadline   = 8 * time.Second
	meanEvents       = 24.3
	eventSpread      = 0.7
	maxEvents        = 60
	// quick and slow are times between two events in milliseconds; the sheet has pauses of 120 ms in time.
	quick, usual, slow = 60, 90, 120
)

var zones = []string{"esgueira", "cacia", "ilhavo"}

// setUp starts the replicas of the model service and gateways.
func setUp(w *world, gateways int, bounds map[string]any) error {
	w.putConfig()
	for i := range siteReplicas {
		if _, err := w.startReplica(fmt.Sprintf("i-%02d", i), "redactor", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range gateways {
		if _, err := w.startGateway(fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), bounds); err != nil {
			return err
		}
	}
	return nil
}

// drawEvents draws the length of a stream, by the mean, spread and most of the sheet.
func drawEvents() int {
	n := meanEvents * math.Exp(eventSpread*rand.NormFloat64()-eventSpread*eventSpread/2)
	return min(max(int(n), 1), maxEvents)
}

// streamCall returns a request for a stream on a route; framing is that of its answer, pause the time between two events.
func streamCall(route, framing string, pause int) *call {
	events := drawEvents()
	c := newCall(http.MethodPost, fmt.Sprintf("/%s/7?ms=%d&pieces=%d&framing=%s&stream=1", route, events*pause, events, framing), streamDeadline)
	c.events = events
	return c
}

// traffic sends a gateway its part of the sheet's streams until a time, and returns them once all have ended.
func traffic(w *world, g *gateway, until time.Time, next func() *call) []*call {
	var all []*call
	var sending sync.WaitGroup
	for {
		gap := rand.ExpFloat64() * siteGateways / streamsPerSecond
		time.Sleep(time.Duration(gap * float64(time.Second)))
		if !time.Now().Before(until) {
			break
		}
		c := next()
		all = append(all, c)
		sending.Go(func() { c.send(w, g.frontend) })
	}
	sending.Wait()
	return all
}

// trafficAtAll does the same at all gateways.
func trafficAtAll(w *world, until time.Time, next func() *call) []*call {
	var mu sync.Mutex
	var all []*call
	var sending sync.WaitGroup
	for _, g := range w.gateways {
		sending.Go(func() {
			list := traffic(w, g, until, next)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, list...)
		})
	}
	sending.Wait()
	return all
}

const (
	// A release replaces 5 of 12 replicas (0.42), two at a time, a second apart.
	released    = 5
	releasedAt  = 2
	releasedGap = time.Second
	drainTime   = 2 * time.Second
)

// departure is a replica that left, and when the store had taken that.
type departure struct {
	replica *replica
	at      time.Time
}

// release replaces replicas: the new ones start first, then the old ones say that they leave, serve on for
// the drain time and a little longer, and end.
func release(w *world, first int, longer time.Duration) ([]departure, error) {
	var out []departure
	var ending sync.WaitGroup
	defer ending.Wait()
	for i := range released {
		leaving := w.replicas[first+i]
		if _, err := w.startReplica(fmt.Sprintf("i-%02d", siteReplicas+first+i), "redactor", leaving.zone); err != nil {
			return nil, err
		}
	}
	for i := range released {
		if i > 0 && i%releasedAt == 0 {
			time.Sleep(releasedGap)
		}
		leaving := w.replicas[first+i]
		at := w.drain(leaving)
		out = append(out, departure{leaving, at})
		ending.Go(func() {
			time.Sleep(time.Until(at.Add(drainTime + longer)))
			w.end(leaving)
			w.forget(leaving)
		})
	}
	return out, nil
}
