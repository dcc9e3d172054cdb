package ranks

import (
	"context"
	"net/http"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// findTime bounds the question to a sidecar which rank is its own. One that
	// does not answer is gone around.
	findTime = 250 * time.Millisecond
	// reachTime bounds the same question to a rank from afar.
	reachTime = 400 * time.Millisecond
)

// Place is where a sidecar and its rank are.
type Place struct {
	Sidecar, Target graniteknot.Address
}

// Find asks sidecars which rank is theirs, and ranks whose sidecars do not
// answer which they are. It returns the members of the group by rank; false
// unless there is one for each.
func Find(ctx context.Context, name held.GroupName, size int, places []Place, reach func(graniteknot.Address) held.Rank) ([]*Member, bool) {
	if size <= 0 {
		return nil, false
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: mostCalls}}
	found := make([]*Member, len(places))
	var all group.Group
	for i, place := range places {
		all.Go(func(context.Context) {
			doer := wire.NewRanksProtobufClient("http://"+string(place.Sidecar), client)
			direct := reach(place.Target)
			if r, ok := ask(ctx, name, doer, direct); ok {
				found[i] = NewMember(r, doer, direct)
				found[i].address = place.Sidecar
			}
		})
	}
	all.Wait()
	members := make([]*Member, size)
	for _, m := range found {
		if m != nil && int(m.rank) < size {
			members[m.rank] = m
		}
	}
	return members, !slices.Contains(members, nil)
}

// ask finds out which rank of the group is at a place.
func ask(ctx context.Context, name held.GroupName, doer wire.Ranks, direct held.Rank) (graniteknot.Rank, bool) {
	short, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	reply, err := doer.Look(short, &wire.LookRequest{})
	if err == nil {
		return graniteknot.Rank(reply.GetRank()), held.GroupName(reply.GetGroup()) == name
	}
	long, stop := context.WithTimeout(ctx, reachTime)
	defer stop()
	report, err := direct.Report(long)
	return report.Rank, err == nil && report.Group == name
}
