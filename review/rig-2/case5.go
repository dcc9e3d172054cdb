//go:build review

package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["stream-cut-at-planned-end"] = streamCutAtPlannedEnd }

// streamCutAtPlannedEnd has replicas replaced, again and again, while they send streams that may not be resumed. Now and
// then an answer lacks a length, so it ends with its connection.
func streamCutAtPlannedEnd(w *world, trouble bool) (bool, error) {
	const (
		releases, period = 15, 6 * time.Second
		// unframedShare and unframedTime are the site's largest dose of answers without a length.
		unframedShare, unframedTime = 0.05, 5 * time.Second
		before                      = time.Second
	)
	if err := setUp(w, siteGateways, smallBounds()); err != nil {
		return false, err
	}
	var unframed atomic.Bool
	next := func() *call {
		framing := "chunks"
		if unframed.Load() && rand.Float64() < unframedShare {
			framing = "close"
		}
		return streamCall("traducao", framing, usual)
	}
	calls := make(chan []*call, 1)
	go func() { calls <- trafficAtAll(w, time.Now().Add(releases*period), next) }()
	for i := range releases {
		began := time.Now()
		unframed.Store(true)
		time.AfterFunc(unframedTime, func() { unframed.Store(false) })
		time.Sleep(before)
		if trouble {
			if _, err := release(w, i*released, 50*time.Millisecond); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(period)))
	}
	broken := false
	for _, c := range <-calls {
		if c.status == http.StatusOK && c.complete && c.body != streamOf(c.id, c.events) {
			ran, finished := w.runsOf(c.id)
			w.note("ORDER: %s got 200, complete, with %d of the %d events; ran at %v, ended by %v", c.id, strings.Count(c.body, "\n\n"), c.events, ran, finished)
			broken = true
		}
	}
	return broken, nil
}
