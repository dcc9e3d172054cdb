package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"graniteknot.org/go/platform/platformtest"
)

// Finding is a violated guarantee.
type Finding struct {
	Promise string
	Request string
	Detail  string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Promise + ": request " + f.Request + ": " + f.Detail }

// run is one execution of a request at a replica.
type run struct {
	at      *replica
	arrived time.Time
}

// check compares the responses that callers received with the requests that replicas ran.
func check(w *world, calls []*call) []Finding {
	ran := map[string][]run{}
	for _, r := range w.all {
		for _, x := range r.Runs() {
			id := platformtest.RequestID(x.Request)
			ran[id] = append(ran[id], run{at: r, arrived: x.At})
		}
	}
	var out []Finding
	known := map[string]bool{}
	for _, c := range calls {
		known[c.id] = true
		out = append(out, checkCall(c, ran[c.id])...)
		out = append(out, checkApplied(c)...)
	}
	for _, x := range w.streamCalls {
		for _, r := range x.requests {
			known[r.id()] = true
		}
	}
	for id := range ran {
		if !known[id] {
			out = append(out, Finding{"nothing runs unasked", id, "no caller sent it"})
		}
	}
	out = append(out, checkFeedback(w, calls)...)
	out = append(out, checkVersionsDoNotRegress(calls)...)
	out = append(out, checkLimits(w, calls)...)
	out = append(out, checkEvacuations(w, calls)...)
	out = append(out, checkCold(w, calls)...)
	out = append(out, checkStreams(w, ran)...)
	out = append(out, checkCrashingPart(calls, ran)...)
	return append(out, checkCrashes(ran)...)
}

func checkCall(c *call, ran []run) []Finding {
	var out []Finding
	add := func(promise, format string, args ...any) {
		out = append(out, Finding{promise, c.id, fmt.Sprintf(format, args...)})
	}
	if c.once && len(ran) > 1 {
		add("at most once", "ran %d times", len(ran))
	}
	if c.once && len(ran) > 0 && saysNotRun(c.status) {
		add("not run means not run", "answered %d, ran at %s", c.status, ran[0].at.ID)
	}
	if c.status == http.StatusOK && c.body != answerTo(c.id) {
		add("its own whole answer", "got %q", c.body)
	}
	if c.status == 0 && c.stable && len(ran) > 0 && !slices.ContainsFunc(ran, sentEndlessBody) {
		add("planned work cuts nothing", "no answer after %v from %s, ran at %s", c.ended.Sub(c.sent), c.gateway.box, ran[0].at.ID)
	}
	if removed := c.key.removed; len(ran) > 0 && !removed.IsZero() && c.sent.After(removed.Add(keyAge)) {
		add("keys end", "sent %v after its key was taken away", c.sent.Sub(removed))
	}
	for _, r := range ran {
		if leaving := r.at.leaving; !leaving.IsZero() && c.stable && c.storeReadable && r.arrived.After(leaving.Add(drainTime+slack)) {
			add("leaving targets get nothing new", "reached %s %v after its word", r.at.ID, r.arrived.Sub(leaving))
		}
	}
	return out
}

// saysNotRun reports whether a status guarantees that the request did not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
