package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// crashPart is the part of prompts that crashes every replica that runs a request with it. Such
	// a request is sent once each crashPartInterval; no two are alike.
	crashPart         = "bad:300"
	crashPartInterval = 400 * time.Millisecond
	// crashPartPrefix starts the IDs of these requests.
	crashPartPrefix = "part-"
	// crashesToKnowPart is after how many crashes gateways have to know the part.
	crashesToKnowPart = 5
	// partStream is the random stream for these requests.
	partStream = 1<<20 + 7
	// sharedPart is in all prompts; there are soundParts other parts that several prompts have.
	sharedPart = "5a:40"
	soundParts = 6
)

// parts returns the prompt of the caller's next request.
func (c *caller) parts(i int) []string {
	if !c.prompts {
		return nil
	}
	return []string{sharedPart, fmt.Sprintf("a%d:60", i%soundParts), lastPart(i)}
}

// lastPart returns a part that no other prompt has.
func lastPart(i int) string { return fmt.Sprintf("ffff%x:200", i) }

// sendCrashingParts sends requests with the part that crashes replicas to gateways until ctx is done.
func (c *caller) sendCrashingParts(ctx context.Context, gateways []*process, choose func(int) int) {
	for i := 0; ctx.Err() == nil; i++ {
		to := gateways[choose(len(gateways))]
		parts := []string{sharedPart, crashPart, fmt.Sprintf("a%d:60", choose(soundParts)), lastPart(i)}
		c.send(ctx, &call{id: fmt.Sprint(crashPartPrefix, i), once: choose(2) == 0, key: c.key(), gateway: to, parts: parts}, fmt.Sprint("body ", i))
		wait(ctx, crashPartInterval)
	}
}

// checkCrashingPart bounds how many requests with the part reach replicas once all gateways know of
// it, sent by gateways that no fault affects.
func checkCrashingPart(calls []*call, ran map[string][]run) []Finding {
	var crashes []time.Time
	for id, runs := range ran {
		if strings.HasPrefix(id, crashPartPrefix) {
			for _, r := range runs {
				crashes = append(crashes, r.arrived)
			}
		}
	}
	if len(crashes) < crashesToKnowPart {
		return nil
	}
	slices.SortFunc(crashes, time.Time.Compare)
	known := crashes[crashesToKnowPart-1].Add(propagationTime + slack)
	later := 0
	for _, c := range calls {
		if strings.HasPrefix(c.id, crashPartPrefix) && c.stable && slices.ContainsFunc(ran[c.id], func(r run) bool { return r.arrived.After(known) }) {
			later++
		}
	}
	if later <= maxLaterCrashes {
		return nil
	}
	return []Finding{{
		"prompt parts that end replicas are kept from them", crashPartPrefix,
		fmt.Sprintf("%d ends, %d of them later than %v after the fifth", len(crashes), later, propagationTime+slack),
	}}
}
