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

// Endpoint is where a sidecar and its rank are.
type Endpoint struct {
	Sidecar, Target graniteknot.Address
	Zone            graniteknot.AvailabilityZone
}

// Discovery is what a search for a group's ranks has shown.
type Discovery struct {
	// Members are the ranks, in order; nil where none was found.
	Members []*Member
	// Complete tells that there is one for each rank.
	Complete bool
	// HeardCoordinator is how many sidecars heard from a keeper within the time that was named,
	// Answered how many answered.
	HeardCoordinator, Answered int
}

// Discover asks sidecars which rank is theirs, and ranks whose sidecars do not
// answer which they are, and how many sidecars heard from a keeper lately.
//
// The former keeper's rank need not answer: where it alone is lacking, and one
// place alone does not answer, it is taken to be there. Pass a negative rank for
// none. An asker reaches sidecars by datagrams; nil for over HTTP only.
func Discover(ctx context.Context, name held.GroupName, size int, former graniteknot.Rank, lately time.Duration, places []Endpoint, asker DatagramClient, reach func(graniteknot.Address) held.Rank) Discovery {
	if size <= 0 {
		return Discovery{}
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: mostCalls}}
	found := make([]*Member, len(places))
	answers := make([]answer, len(places))
	var all group.Group
	for i, place := range places {
		all.Go(func(context.Context) {
			doer := byDatagrams(asker, place.Sidecar, wire.NewRanksProtobufClient("http://"+string(place.Sidecar), client))
			direct := reach(place.Target)
			answers[i] = ask(ctx, name, doer, direct)
			found[i] = NewMember(answers[i].rank, doer, place.Sidecar, direct)
			found[i].zone = place.Zone
		})
	}
	all.Wait()
	out := Discovery{Members: make([]*Member, size)}
	for _, a := range answers {
		out.note(a, lately)
	}
	members := out.Members
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
	out.Complete = !slices.Contains(members, nil)
	return out
}

// heardShare is the part of a group's sidecars that have heard from the keeper of late
// for it to be alive. A keeper that reaches fewer than half of its ranks can't switch
// their map.
const heardShare = 0.5

// CoordinatorAlive tells whether a keeper is heard by enough of the group to be alive.
func (f *Discovery) CoordinatorAlive() bool {
	return f.Answered > 0 && float64(f.HeardCoordinator) >= heardShare*float64(f.Answered)
}

// note counts an answer.
func (f *Discovery) note(a answer, lately time.Duration) {
	if !a.sidecar || a.rank < 0 {
		return
	}
	f.Answered++
	if a.keeper && a.age < lately {
		f.HeardCoordinator++
	}
}

// answer is what was learned of a place.
type answer struct {
	rank graniteknot.Rank
	// sidecar tells that it was the sidecar that answered; keeper that it has heard
	// of a keeper, age ago.
	sidecar, keeper bool
	age             time.Duration
}

// unanswered and elsewhere stand for the rank of a place that did not answer, or
// that is no rank of the group.
const (
	unanswered graniteknot.Rank = -1
	elsewhere  graniteknot.Rank = -2
)

// ask finds out which rank of the group is at a place.
func ask(ctx context.Context, name held.GroupName, doer wire.Ranks, direct held.Rank) answer {
	short, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	reply, err := doer.Look(short, &wire.LookRequest{})
	if err == nil {
		return answer{
			rank: ifIn(name, held.GroupName(reply.GetGroup()), graniteknot.Rank(reply.GetRank())), sidecar: true,
			keeper: reply.GetKeeper() != 0, age: time.Duration(reply.GetKeeperAgeMs()) * time.Millisecond,
		}
	}
	long, stop := context.WithTimeout(ctx, reachTime)
	defer stop()
	report, err := direct.Report(long)
	if err != nil {
		return answer{rank: unanswered}
	}
	return answer{rank: ifIn(name, report.Group, report.Rank)}
}

// ifIn returns a rank if its group is the one that is looked for.
func ifIn(name, group held.GroupName, r graniteknot.Rank) graniteknot.Rank {
	if group != name {
		return elsewhere
	}
	return r
}
