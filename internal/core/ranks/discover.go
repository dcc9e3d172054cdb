package ranks

import (
	"context"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// sidecarProbeTimeout bounds the probe of a sidecar; without an answer its rank is
	// probed directly.
	sidecarProbeTimeout = 150 * time.Millisecond
	// rankProbeTimeout bounds the direct probe of a remote rank.
	rankProbeTimeout = 200 * time.Millisecond
)

// Endpoint holds the addresses of a sidecar and its rank.
type Endpoint struct {
	Sidecar, Target graniteknot.Address
	Zone            graniteknot.AvailabilityZone
}

// Discovery is the result of Discover.
type Discovery struct {
	// Members are indexed by rank; nil for a rank that was not found.
	Members []*Member
	// Complete reports whether every rank was found.
	Complete bool
	// Answered counts the sidecars that answered, HeardCoordinator those of them that heard
	// from a coordinator recently.
	HeardCoordinator, Answered int
}

// Discover probes sidecars, and the ranks of those that do not answer, to find the members
// of a group and how many sidecars have heard from a coordinator within the duration
// recent.
//
// The former coordinator's rank need not answer: if it is the only one missing and only one
// endpoint does not answer, it is assumed to be there. Pass a negative rank for none. A nil
// datagram client selects HTTP only.
func Discover(ctx context.Context, name held.GroupName, size int, former graniteknot.Rank, recent time.Duration, endpoints []Endpoint, datagrams DatagramClient, direct func(graniteknot.Address) held.Rank) Discovery {
	if size <= 0 {
		return Discovery{}
	}
	httpClient := newHTTPClient()
	probed := make([]*Member, len(endpoints))
	results := make([]probeResult, len(endpoints))
	var probes group.Group
	for i, endpoint := range endpoints {
		probes.Go(func(context.Context) {
			client := overDatagrams(datagrams, endpoint.Sidecar, wire.NewRanksProtobufClient("http://"+string(endpoint.Sidecar), httpClient))
			rank := direct(endpoint.Target)
			results[i] = probe(ctx, name, client, rank)
			probed[i] = NewMember(results[i].rank, client, endpoint.Sidecar, rank)
			probed[i].zone = endpoint.Zone
		})
	}
	probes.Wait()
	out := Discovery{Members: make([]*Member, size)}
	for _, a := range results {
		out.countAnswer(a, recent)
	}
	members := out.Members
	var silent []*Member
	for _, m := range probed {
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

// minHeardFraction is the fraction of answering sidecars that must have heard from the
// coordinator recently for it to count as alive. A coordinator that reaches fewer than half
// of its ranks can't switch their map.
const minHeardFraction = 0.5

// CoordinatorAlive reports whether enough of the group has heard from a coordinator
// recently.
func (d *Discovery) CoordinatorAlive() bool {
	return d.Answered > 0 && float64(d.HeardCoordinator) >= minHeardFraction*float64(d.Answered)
}

// countAnswer adds a probe's result to the counts.
func (d *Discovery) countAnswer(result probeResult, recent time.Duration) {
	if !result.fromSidecar || result.rank < 0 {
		return
	}
	d.Answered++
	if result.coordinatorKnown && result.coordinatorAge < recent {
		d.HeardCoordinator++
	}
}

// probeResult is the result of probing one endpoint.
type probeResult struct {
	rank graniteknot.Rank
	// fromSidecar reports that the sidecar answered. If it knows a coordinator, it last
	// heard from it coordinatorAge ago.
	fromSidecar, coordinatorKnown bool
	coordinatorAge                time.Duration
}

// Placeholders for the rank of an endpoint that did not answer, or that is not in the
// group.
const (
	rankUnanswered graniteknot.Rank = -1
	rankOtherGroup graniteknot.Rank = -2
)

// probe returns which rank of the group is at an endpoint.
func probe(ctx context.Context, name held.GroupName, client wire.Ranks, direct held.Rank) probeResult {
	sidecarCtx, cancel := context.WithTimeout(ctx, sidecarProbeTimeout)
	defer cancel()
	reply, err := client.Look(sidecarCtx, &wire.LookRequest{})
	if err == nil {
		return probeResult{
			rank: rankIfInGroup(name, held.GroupName(reply.GetGroup()), graniteknot.Rank(reply.GetRank())), fromSidecar: true,
			coordinatorKnown: reply.GetKeeper() != 0, coordinatorAge: time.Duration(reply.GetKeeperAgeMs()) * time.Millisecond,
		}
	}
	rankCtx, cancelDirect := context.WithTimeout(ctx, rankProbeTimeout)
	defer cancelDirect()
	report, err := direct.Report(rankCtx)
	if err != nil {
		return probeResult{rank: rankUnanswered}
	}
	return probeResult{rank: rankIfInGroup(name, report.Group, report.Rank)}
}

// rankIfInGroup returns the rank if it belongs to the group called name.
func rankIfInGroup(name, group held.GroupName, r graniteknot.Rank) graniteknot.Rank {
	if group != name {
		return rankOtherGroup
	}
	return r
}
