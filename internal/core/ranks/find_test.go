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

// known is a rank that tells of a group.
type known struct {
	held.Rank

	rank graniteknot.Rank
}

// Report implements held.Rank.
func (k *known) Report(context.Context) (held.Report, error) {
	return held.Report{Group: "g", Rank: k.rank, Size: 5, State: held.State{Open: true, Epoch: 1}}, nil
}

// TestKeeperHeardByOthers has one sidecar of five that the keeper does not reach look
// for its group: the others' word shows that the keeper is alive, and that it is not
// once nobody has heard from it for a while.
func TestKeeperHeardByOthers(t *testing.T) {
	const lately = 400 * time.Millisecond
	var doers []*ranks.Executor
	var places []ranks.Endpoint
	for r := range 5 {
		d := &ranks.Executor{Rank: &known{rank: graniteknot.Rank(r)}}
		server := httptest.NewServer(wire.NewRanksServer(d))
		defer server.Close()
		doers = append(doers, d)
		places = append(places, ranks.Endpoint{Sidecar: graniteknot.Address(strings.TrimPrefix(server.URL, "http://"))})
	}
	find := func() ranks.Discovery {
		reach := func(graniteknot.Address) held.Rank { return &known{} }
		return ranks.Discover(context.Background(), "g", 5, -1, lately, places, nil, reach)
	}
	if found := find(); !found.Complete || found.CoordinatorAlive() {
		t.Errorf("before any keeper: %+v", found)
	}
	for _, d := range doers[1:4] {
		if _, err := d.Look(context.Background(), &wire.LookRequest{Fence: 7, OwnRank: 5}); err != nil {
			t.Fatal(err)
		}
	}
	if found := find(); !found.Complete || !found.CoordinatorAlive() || found.HeardCoordinator != 3 || found.Answered != 5 {
		t.Errorf("three of five heard from the keeper: %+v", found)
	}
	time.Sleep(lately + 50*time.Millisecond)
	if found := find(); !found.Complete || found.CoordinatorAlive() {
		t.Errorf("nobody has heard from the keeper lately: %+v", found)
	}
}
