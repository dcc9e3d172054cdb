package ranks_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/wire"
)

// reportingRank is a rank that only reports its group and number.
type reportingRank struct {
	held.Rank

	rank graniteknot.Rank
}

// Report implements held.Rank.
func (r *reportingRank) Report(context.Context) (held.Report, error) {
	return held.Report{Group: "g", Rank: r.rank, GroupSize: 5, State: held.State{GroupRunning: true, Epoch: 1}}, nil
}

// TestCoordinatorAliveByMajority discovers a group from one of five sidecars that the
// coordinator does not reach. The other sidecars must show that the coordinator is alive,
// and that it is not once none of them has heard from it for a while.
func TestCoordinatorAliveByMajority(t *testing.T) {
	const recent = 400 * time.Millisecond
	var executors []*ranks.Executor
	var endpoints []ranks.Endpoint
	for r := range 5 {
		executor := &ranks.Executor{Rank: &reportingRank{rank: graniteknot.Rank(r)}}
		server := httptest.NewServer(wire.NewRanksServer(executor))
		defer server.Close()
		executors = append(executors, executor)
		endpoints = append(endpoints, ranks.Endpoint{Sidecar: graniteknot.Address(strings.TrimPrefix(server.URL, "http://"))})
	}
	discover := func() ranks.Discovery {
		direct := func(graniteknot.Address) held.Rank { return &reportingRank{} }
		return ranks.Discover(context.Background(), "g", 5, -1, recent, endpoints, nil, direct)
	}
	if found := discover(); !found.Complete || found.CoordinatorAlive() {
		t.Errorf("before any coordinator: %+v", found)
	}
	for _, executor := range executors[1:4] {
		if _, err := executor.Look(context.Background(), &wire.LookRequest{Fence: 7, OwnRank: 5}); err != nil {
			t.Fatal(err)
		}
	}
	if found := discover(); !found.Complete || !found.CoordinatorAlive() || found.HeardCoordinator != 3 || found.Answered != 5 {
		t.Errorf("three of five sidecars heard from the coordinator: %+v", found)
	}
	time.Sleep(recent + 50*time.Millisecond)
	if found := discover(); !found.Complete || found.CoordinatorAlive() {
		t.Errorf("no sidecar heard from the coordinator recently: %+v", found)
	}
}
