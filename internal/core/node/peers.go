package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/member"
)

// join asks the seeds for everything.
func (n *Node) join(ctx context.Context) {
	for _, a := range n.Config.Seeds {
		if a != n.Config.Listen {
			n.sync(ctx, a, true)
		}
	}
}

// sync exchanges settings and news with a peer. It tells whether the peer
// answered.
func (n *Node) sync(ctx context.Context, a graniteknot.Address, full bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	n.counts.syncs.Add(1)
	now := time.Now()
	request := n.Store.Request(now)
	request.Full = full
	request.Sender = string(n.Config.Listen)
	request.Members = toWire(n.Members.Updates(a, newsLimit))
	request.Clock = uint64(n.Timeline.Clock.Now())
	reply, err := n.Client.Peer(a).Sync(ctx, request)
	if err != nil {
		return false
	}
	n.Timeline.Clock.Observe(timeline.Stamp(reply.GetClock()))
	n.Members.Merge(fromWire(reply.GetMembers()), now)
	n.Members.MarkHeard(a, now)
	if _, err := n.Store.Take(reply, now); err != nil {
		n.counts.refusedSnapshots.Add(1)
		klog.ErrorS(err, "a peer's settings were not taken", "peer", a)
	}
	return true
}

// probeStep probes one member, itself or through helpers.
func (n *Node) probeStep(ctx context.Context) {
	for _, m := range n.Members.Tick(time.Now()) {
		n.Timeline.Add(timeline.Event{Kind: timeline.KindSuspect, Detail: string(m.Address) + " is dead"})
	}
	a, ok := n.Members.NextProbe()
	if !ok {
		n.join(ctx)
		return
	}
	n.counts.probes.Add(1)
	if n.sync(ctx, a, false) || n.askHelpers(ctx, a) {
		return
	}
	n.counts.probeFailures.Add(1)
	n.Members.MarkUnreachable(a, time.Now())
	n.Timeline.Add(timeline.Event{Kind: timeline.KindSuspect, Detail: string(a) + " does not answer"})
}

func (n *Node) askHelpers(ctx context.Context, a graniteknot.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, 3*probeTime)
	defer cancel()
	for _, helper := range n.Members.RandomPeers(helpers, a) {
		reply, err := n.Client.Peer(helper).Probe(ctx, &wire.ProbeRequest{Address: string(a)})
		if err == nil && reply.GetAlive() {
			return true
		}
	}
	return false
}

// lostStep looks whether a member thought dead is back.
func (n *Node) lostStep(ctx context.Context) {
	if a, ok := n.Members.RandomDead(); ok {
		n.sync(ctx, a, true)
	}
}

func toWire(members []member.Member) []*wire.Member {
	out := make([]*wire.Member, len(members))
	for i, m := range members {
		out[i] = &wire.Member{
			Address: string(m.Address), Incarnation: uint64(m.Incarnation), Version: m.Version,
			State: wire.Member_State(m.State), Zone: string(m.Zone), Box: string(m.Box),
			Role: string(m.Role), Partner: string(m.Partner),
		}
	}
	return out
}

func fromWire(members []*wire.Member) []member.Member {
	out := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.GetState() < 0 || m.GetState() > wire.Member_DEAD {
			continue
		}
		out = append(out, member.Member{
			Address: graniteknot.Address(m.GetAddress()), Incarnation: graniteknot.Incarnation(m.GetIncarnation()),
			Version: m.GetVersion(), State: member.State(m.GetState()),
			Zone: graniteknot.AvailabilityZone(m.GetZone()), Box: graniteknot.BoxName(m.GetBox()),
			Role: member.Role(m.GetRole()), Partner: graniteknot.Partner(m.GetPartner()),
		})
	}
	return out
}
