package soak_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

// smallestMemory is that of the smallest gateway.
const smallestMemory = 136 << 20

// putOdd puts the odd records into all topics that gateways follow.
func putOdd(store *platformtest.Store, round int) {
	for name, value := range platformtest.OddRecords("s") {
		for _, topic := range []graniteknot.Topic{graniteknot.TopicReplicas, graniteknot.TopicMembers, graniteknot.TopicQuarantine, graniteknot.TopicSettings} {
			store.Records.Put(topic, fmt.Sprint("odd ", name, round), value)
		}
	}
}

// TestOddRecordsEndNoProcess guards against records of other writers that end the processes that read them, or that these stop following the others for.
func TestOddRecordsEndNoProcess(t *testing.T) {
	const rounds = 3
	for i, g := range followThrough(t, func(store *platformtest.Store) {
		for round := range rounds {
			putOdd(store, round)
			time.Sleep(time.Second)
		}
	}) {
		held := peakMemory(t, g.command.Process.Pid)
		t.Logf("gateway %d held %d MB", i, held>>20)
		if held > smallestMemory {
			t.Errorf("gateway %d held %d MB", i, held>>20)
		}
	}
}

// TestHugeNestedRecordEndsNoProcess guards against a record whose nesting overflows the stack of the processes that read it. No store should take it.
func TestHugeNestedRecordEndsNoProcess(t *testing.T) {
	followThrough(t, func(store *platformtest.Store) {
		store.Records.Put(graniteknot.TopicReplicas, "huge", []byte(strings.Repeat("[", 16<<20)))
		time.Sleep(2 * time.Second)
	})
}

// followThrough checks that a gateway that runs while records are put, and one that starts with them there, serve and follow the replicas' records, and returns both.
func followThrough(t *testing.T, put func(*platformtest.Store)) []*gatewayProcess {
	t.Helper()
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	first := newWorking(t, store, "i-first")
	store.Records.Put(graniteknot.TopicSettings, "config", platformtest.Config(1, "h.example", "s", []string{"k1"}))
	gateways := []*gatewayProcess{startGateway(t, 2, store.Address(), stopBound)}
	gateways[0].awaitServing(t)
	put(store)
	gateways = append(gateways, startGateway(t, 3, store.Address(), stopBound))
	for _, g := range gateways {
		g.awaitServing(t)
	}
	second := newWorking(t, store, "i-second")
	store.Records.Put(graniteknot.TopicReplicas, first.ID, platformtest.Record("s", first.Address(), true))
	for i, g := range gateways {
		g.awaitServedBy(t, second, fmt.Sprint("after-", i))
	}
	return gateways
}
