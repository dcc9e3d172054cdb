package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// crashBody is the body of the request that crashes every replica that runs it. It is sent once
	// each crashInterval.
	crashBody     = "ends replicas"
	crashInterval = 250 * time.Millisecond
	// crashIDPrefix starts the IDs of these requests.
	crashIDPrefix = "deadly-"
	// replicaRestartTime is how long a crashed replica takes to restart.
	replicaRestartTime = 600 * time.Millisecond
	// propagationTime is how long after the third crash all gateways know of the request, and
	// maxLaterCrashes how often it may still reach replicas after that.
	propagationTime     = 3 * time.Second
	crashesToQuarantine = 3
	maxLaterCrashes     = 3
	// crashStream is the random stream for these requests. Faults and callers have streams of their
	// own.
	crashStream = 1 << 20
	// malformedInterval is the time between two malformed records.
	malformedInterval = 120 * time.Millisecond
)

// restartWhenEnded restarts a replica under the same ID each time it ends.
func (w *world) restartWhenEnded(ctx context.Context, s *replica, born graniteknot.Born) {
	select {
	case <-ctx.Done():
		return
	case <-s.Ended():
	}
	wait(ctx, replicaRestartTime)
	if ctx.Err() != nil {
		return
	}
	born++
	again := &replica{born: born, zone: s.zone, streams: s.streams}
	next, err := s.Again(again.work)
	if err != nil {
		// Another process has taken the port: the replica stays down.
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	again.Replica = next
	w.startCold(again)
	w.all = append(w.all, again)
	if i := slices.Index(w.replicas, s); i >= 0 {
		w.replicas[i] = again
		w.put(s.ID, again.record(false))
	}
	w.lives.Go(func(ctx context.Context) { w.restartWhenEnded(ctx, again, born) })
}

// sendCrashing sends the request that crashes replicas to gateways until ctx is done.
func (c *caller) sendCrashing(ctx context.Context, gateways []*process, choose func(int) int) {
	for i := 0; ctx.Err() == nil; i++ {
		to := gateways[choose(len(gateways))]
		c.send(ctx, &call{id: fmt.Sprint(crashIDPrefix, i), key: c.key(), gateway: to}, crashBody)
		wait(ctx, crashInterval)
	}
}

// writeMalformed writes malformed records, sometimes over the record of a replica, which then rewrites
// it.
func (w *world) writeMalformed(ctx context.Context, choose func(int) int) {
	odd := []string{"", "null", "{}", "{", "\xff\x00", `{"phase":"resting"}`, `{"backend":"s","address":"nowhere","phase":"ready"}`}
	topics := []graniteknot.Topic{graniteknot.TopicReplicas, graniteknot.TopicMembers, graniteknot.TopicQuarantine}
	for i := 0; ctx.Err() == nil; i++ {
		text := []byte(odd[choose(len(odd))])
		w.store.Records.Put(topics[choose(len(topics))], fmt.Sprint("odd-", i%16), text)
		if choose(10) == 0 {
			s := w.replica(choose(1 << 20))
			w.put(s.ID, text)
			wait(ctx, malformedInterval)
			w.mu.Lock()
			w.put(s.ID, s.record(!s.leaving.IsZero()))
			w.mu.Unlock()
		}
		wait(ctx, malformedInterval)
	}
}

// checkCrashes bounds how often the request that crashes replicas reaches them.
func checkCrashes(ran map[string][]run) []Finding {
	var ends []time.Time
	for id, runs := range ran {
		if !strings.HasPrefix(id, crashIDPrefix) {
			continue
		}
		for _, r := range runs {
			ends = append(ends, r.arrived)
		}
	}
	if len(ends) <= crashesToQuarantine {
		return nil
	}
	slices.SortFunc(ends, time.Time.Compare)
	known := ends[crashesToQuarantine-1].Add(propagationTime + slack)
	later := 0
	for _, at := range ends {
		if at.After(known) {
			later++
		}
	}
	if later <= maxLaterCrashes {
		return nil
	}
	return []Finding{{
		"requests that end replicas are kept from them", crashIDPrefix,
		fmt.Sprintf("%d ends, %d of them later than %v after the third", len(ends), later, propagationTime+slack),
	}}
}
