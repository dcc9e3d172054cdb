package node

import (
	"context"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/member"
)

// Sync implements wire.Peer.
func (n *Node) Sync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	now := time.Now()
	n.Timeline.Clock.Observe(timeline.Stamp(r.GetClock()))
	n.Members.Merge(fromWire(r.GetMembers()), now)
	reply := n.Store.Answer(r, now)
	reply.Members = toWire(n.newsFor(r))
	reply.Clock = uint64(n.Timeline.Clock.Now())
	if n.Store.Behind(r) && r.GetSender() != "" {
		n.group.Go(func(ctx context.Context) { n.sync(ctx, graniteknot.Address(r.GetSender()), false) })
	}
	return reply, nil
}

func (n *Node) newsFor(r *wire.SyncRequest) []member.Member {
	if r.GetFull() {
		return n.Members.Snapshot()
	}
	return n.Members.Updates(graniteknot.Address(r.GetSender()), newsLimit)
}

// Probe implements wire.Peer.
func (n *Node) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{Alive: n.sync(ctx, graniteknot.Address(r.GetAddress()), false)}, nil
}

func (n *Node) timelineReply(r *wire.TimelineRequest) *wire.TimelineReply {
	return &wire.TimelineReply{Events: n.Timeline.Events(graniteknot.RequestID(r.GetRequest()))}
}

func (n *Node) statusReply() *wire.StatusReply {
	self := n.Members.Self()
	p := n.Store.Position()
	reply := &wire.StatusReply{
		Box: string(self.Box), Role: string(self.Role), Partner: string(self.Partner), Zone: string(self.Zone),
		Incarnation: uint64(self.Incarnation), SettingsOffset: int64(p.Offset), SettingsDigest: p.Digest,
		Leaving: self.State == member.StateLeaving, ConfirmedMs: -1, Members: toWire(n.Members.Snapshot()),
	}
	if !p.Confirmed.IsZero() {
		reply.ConfirmedMs = time.Since(p.Confirmed).Milliseconds()
	}
	for _, v := range n.Store.Refusals() {
		reply.Refusals = append(reply.Refusals, &wire.Refusal{
			Offset: int64(v.Offset), Id: v.ID, Branch: v.Branch, Reason: v.Err.Error(),
		})
	}
	return reply
}

// PeerService answers the calls of wire.Peer for a node.
type PeerService struct{ Node *Node }

// Sync implements wire.Peer.
func (s PeerService) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return s.Node.Sync(ctx, r)
}

// Probe implements wire.Peer.
func (s PeerService) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.Node.Probe(ctx, r)
}

// Timeline implements wire.Peer.
func (s PeerService) Timeline(_ context.Context, r *wire.TimelineRequest) (*wire.TimelineReply, error) {
	return s.Node.timelineReply(r), nil
}

// Status implements wire.Peer.
func (s PeerService) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return s.Node.statusReply(), nil
}

// Lend implements wire.Peer.
func (s PeerService) Lend(_ context.Context, r *wire.LendRequest) (*wire.LendReply, error) {
	if s.Node.Lend == nil {
		return &wire.LendReply{}, nil
	}
	return s.Node.Lend(r), nil
}
