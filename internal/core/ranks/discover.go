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
	// sidecarProbeTimeout bounds the question to a sidecar which rank is its own. One that
	// does not answer is gone around.
	sidecarProbeTimeout = 150 * time.Millisecond
	// rankProbeTimeout bounds the same question to a rank from afar.
	rankProbeTimeout = 200 * time.Millisecond
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
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxSameCalls}}
	found := make([]*Member, len(places))
	answers := make([]probeResult, len(places))
	var all group.Group
	for i, place := range places {
		all.Go(func(context.Context) {
			doer := overDatagrams(asker, place.Sidecar, wire.NewRanksProtobufClient("http://"+string(place.Sidecar), client))
			direct := reach(place.Target)
			answers[i] = probe(ctx, name, doer, direct)
			found[i] = NewMember(answers[i].rank, doer, place.Sidecar, direct)
			found[i].zone = place.Zone
		})
	}
	all.Wait()
	out := Discovery{Members: make([]*Member, size)}
	for _, a := range answers {
		out.countAnswer(a, lately)
	}
	members := out.Members
	var silent []*Member
	for _, m := range found {
		switch {
		case m.rank >= 0 && int(m.rank) < size:
			members[m.rank] = m
		case m.rank == rankUnanswered:
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

// minHeardFraction is the part of a group's sidecars that have heard from the keeper of late
// for it to be alive. A keeper that reaches fewer than half of its ranks can't switch
// their map.
const minHeardFraction = 0.5

// CoordinatorAlive tells whether a keeper is heard by enough of the group to be alive.
func (f *Discovery) CoordinatorAlive() bool {
	return f.Answered > 0 && float64(f.HeardCoordinator) >= minHeardFraction*float64(f.Answered)
}

// countAnswer counts an answer.
func (f *Discovery) countAnswer(a probeResult, lately time.Duration) {
	if !a.fromSidecar || a.rank < 0 {
		return
	}
	f.Answered++
	if a.coordinatorKnown && a.coordinatorAge < lately {
		f.HeardCoordinator++
	}
}

// probeResult is what was learned of a place.
type probeResult struct {
	rank graniteknot.Rank
	// fromSidecar tells that it was the fromSidecar that answered; coordinatorKnown that it has heard
	// of a coordinatorKnown, age ago.
	fromSidecar, coordinatorKnown bool
	coordinatorAge                time.Duration
}

// rankUnanswered and rankOtherGroup stand for the rank of a place that did not answer, or
// that is no rank of the group.
const (
	rankUnanswered graniteknot.Rank = -1
	rankOtherGroup graniteknot.Rank = -2
)

// probe finds out which rank of the group is at a place.
func probe(ctx context.Context, name held.GroupName, doer wire.Ranks, direct held.Rank) probeResult {
	short, cancel := context.WithTimeout(ctx, sidecarProbeTimeout)
	defer cancel()
	reply, err := doer.Look(short, &wire.LookRequest{})
	if err == nil {
		return probeResult{
			rank: rankIfInGroup(name, held.GroupName(reply.GetGroup()), graniteknot.Rank(reply.GetRank())), fromSidecar: true,
			coordinatorKnown: reply.GetKeeper() != 0, coordinatorAge: time.Duration(reply.GetKeeperAgeMs()) * time.Millisecond,
		}
	}
	long, stop := context.WithTimeout(ctx, rankProbeTimeout)
	defer stop()
	report, err := direct.Report(long)
	if err != nil {
		return probeResult{rank: rankUnanswered}
	}
	return probeResult{rank: rankIfInGroup(name, report.Group, report.Rank)}
}

// rankIfInGroup returns a rank if its group is the one that is looked for.
func rankIfInGroup(name, group held.GroupName, r graniteknot.Rank) graniteknot.Rank {
	if group != name {
		return rankOtherGroup
	}
	return r
}
