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
	findTime = 150 * time.Millisecond
	// reachTime bounds the same question to a rank from afar.
	reachTime = 200 * time.Millisecond
)

// Place is where a sidecar and its rank are.
type Place struct {
	Sidecar, Target graniteknot.Address
}

// Find asks sidecars which rank is theirs, and ranks whose sidecars do not
// answer which they are. It returns the members of the group by rank; false
// unless there is one for each.
//
// The former keeper's rank need not answer: where it alone is lacking, and one
// place alone does not answer, it is taken to be there. Pass a negative rank for
// none. An asker reaches sidecars by datagrams; nil for over HTTP only.
func Find(ctx context.Context, name held.GroupName, size int, former graniteknot.Rank, places []Place, asker Asker, reach func(graniteknot.Address) held.Rank) ([]*Member, bool) {
	if size <= 0 {
		return nil, false
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: mostCalls}}
	found := make([]*Member, len(places))
	var all group.Group
	for i, place := range places {
		all.Go(func(context.Context) {
			doer := byDatagrams(asker, place.Sidecar, wire.NewRanksProtobufClient("http://"+string(place.Sidecar), client))
			direct := reach(place.Target)
			found[i] = NewMember(ask(ctx, name, doer, direct), doer, place.Sidecar, direct)
		})
	}
	all.Wait()
	members := make([]*Member, size)
	var silent []*Member
	for _, m := range found {
		switch {
		case m.rank >= 0 && int(m.rank) < size:
			members[m.rank] = m
		case m.rank == unanswered:
			silent = append(silent, m)
		}
	}
	if former >= 0 && int(former) < size && members[former] == nil && len(silent) == 1 {
		silent[0].rank = former
		members[former] = silent[0]
	}
	return members, !slices.Contains(members, nil)
}

// unanswered and elsewhere stand for the rank of a place that did not answer, or
// that is no rank of the group.
const (
	unanswered graniteknot.Rank = -1
	elsewhere  graniteknot.Rank = -2
)

// ask finds out which rank of the group is at a place.
func ask(ctx context.Context, name held.GroupName, doer wire.Ranks, direct held.Rank) graniteknot.Rank {
	short, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	reply, err := doer.Look(short, &wire.LookRequest{})
	if err == nil {
		return ifIn(name, held.GroupName(reply.GetGroup()), graniteknot.Rank(reply.GetRank()))
	}
	long, stop := context.WithTimeout(ctx, reachTime)
	defer stop()
	report, err := direct.Report(long)
	if err != nil {
		return unanswered
	}
	return ifIn(name, report.Group, report.Rank)
}

// ifIn returns a rank if its group is the one that is looked for.
func ifIn(name, group held.GroupName, r graniteknot.Rank) graniteknot.Rank {
	if group != name {
		return elsewhere
	}
	return r
}
