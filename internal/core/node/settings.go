package node

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/member"
)

// settingsStep looks for news: at the log if this node reads it now, else at
// a peer. Every other look at a peer is the probe of a member.
func (n *Node) settingsStep(ctx context.Context) {
	reads := n.readsLog(time.Now())
	if reads {
		n.readLog(ctx)
	}
	n.looks++
	if n.looks%probesOneIn == 0 {
		n.probeStep(ctx)
		return
	}
	if reads {
		return
	}
	for _, a := range n.Members.RandomPeers(1, "") {
		n.sync(ctx, a, false)
	}
}

// readsLog tells whether this node is among the readers of this minute, by
// the highest hashes in its own view, or has gone without word for too long.
// Views differ, so there may be a few readers more or less; that is harmless.
func (n *Node) readsLog(now time.Time) bool {
	if now.Sub(n.Store.Position().Confirmed) > stale {
		return true
	}
	minute := strconv.FormatInt(now.Unix()/60, 10)
	own := xxhash.Sum64String(minute + string(n.Config.Listen))
	ahead := 0
	for _, role := range []member.Role{member.RoleEntry, member.RoleAgent} {
		for _, m := range n.Members.Members(role) {
			if m.State < member.StateSuspect && xxhash.Sum64String(minute+string(m.Address)) > own {
				ahead++
			}
		}
	}
	return ahead < readers
}

func (n *Node) readLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logTime)
	defer cancel()
	n.counts.logReads.Add(1)
	if err := n.reader.Read(ctx, time.Now); err != nil {
		n.counts.logFailures.Add(1)
		klog.V(1).InfoS("the log can't be read", "box", n.Config.Box, "err", err)
		for _, a := range n.Members.RandomPeers(1, "") {
			n.sync(ctx, a, false)
		}
	}
}

// announce tells a few peers at once whenever the settings moved.
func (n *Node) announce(ctx context.Context) {
	for {
		changed := n.Store.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		for _, a := range n.Members.RandomPeers(pokes, "") {
			n.sync(ctx, a, false)
		}
	}
}

func (n *Node) snapshotStep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logTime)
	defer cancel()
	wrote, err := n.snapshotter.Run(ctx)
	if err != nil {
		klog.V(1).InfoS("no snapshot written", "box", n.Config.Box, "err", err)
	}
	if wrote {
		n.Timeline.Add(timeline.Event{Kind: timeline.KindSnapshot, Offset: n.Store.Position().Offset})
	}
}

func (n *Node) boxesStep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logTime)
	defer cancel()
	boxes, err := n.boxes.Boxes(ctx)
	if err != nil {
		klog.V(1).InfoS("the list of boxes can't be read", "box", n.Config.Box, "err", err)
		return
	}
	l := &leavingBoxes{addresses: map[graniteknot.Address]struct{}{}}
	for _, b := range boxes {
		if b.State == graniteknot.BoxLeaving {
			l.addresses[b.Address] = struct{}{}
		}
	}
	n.leaving.Store(l)
}
