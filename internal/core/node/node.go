package node

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/procconf"
	"graniteknot.org/go/internal/core/spread"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/member"
)

// Node is the common part of a process. Make it with New.
type Node struct {
	Config   *procconf.Config
	Client   *link.Client
	Timeline *timeline.Recorder
	Store    *spread.Store
	Members  *member.View
	// Lend answers wire.Peer's Lend; nil for processes that are no home of
	// accounts.
	Lend func(*wire.LendRequest) *wire.LendReply
	// Incarnation is this life of the process.
	Incarnation graniteknot.Incarnation

	log         graniteknot.Log
	boxes       graniteknot.BoxList
	reader      spread.Reader
	snapshotter spread.Snapshotter
	group       group.Group
	// leaving holds the addresses that the platform's list says are leaving.
	leaving atomic.Pointer[leavingBoxes]
	// looks counts the steps of the settings loop, which alone uses it.
	looks  uint64
	counts counts
}

// leavingBoxes is one reading of the platform's list.
type leavingBoxes struct {
	addresses map[graniteknot.Address]struct{}
}

type counts struct {
	probes, probeFailures, syncs, logReads, logFailures, refusedSnapshots atomic.Uint64
}

// Parts are what a Node is made of.
type Parts struct {
	Config *procconf.Config
	Log    graniteknot.Log
	// Boxes may be nil.
	Boxes  graniteknot.BoxList
	Client *link.Client
}

// New returns a node that does nothing until Start.
func New(p Parts) *Node {
	c := p.Config
	recorder := &timeline.Recorder{Box: c.Box, Partner: c.Partner, Role: string(c.Role)}
	store := spread.New(&c.Trust)
	store.Timeline = recorder
	n := &Node{
		Config: c, Client: p.Client, Timeline: recorder, Store: store, Members: &member.View{},
		Incarnation: graniteknot.NewIncarnation(time.Now()),
		log:         p.Log, boxes: p.Boxes,
		reader:      spread.Reader{Log: p.Log, Store: store},
		snapshotter: spread.Snapshotter{Log: p.Log, Store: store, Every: c.SnapshotEvery},
	}
	n.Members.SetSelf(member.Member{
		Address: c.Listen, Incarnation: n.Incarnation, Zone: c.Zone, Box: c.Box, Role: c.Role, Partner: c.Partner,
	})
	return n
}

// Start begins the node's own work. It first tries to learn the settings, so
// that a node that serves knows them; without log and peers it starts anyway.
func (n *Node) Start(ctx context.Context) {
	n.Timeline.Add(timeline.Event{Kind: timeline.KindStart, Detail: string(n.Config.Listen)})
	n.join(ctx)
	n.readLog(ctx)
	n.group.Go(func(ctx context.Context) { delay.Every(ctx, settingsPeriod, n.settingsStep) })
	n.group.Go(func(ctx context.Context) { delay.Every(ctx, lostPeriod, n.lostStep) })
	n.group.Go(func(ctx context.Context) { delay.Every(ctx, snapshotPeriod, n.snapshotStep) })
	n.group.Go(n.announce)
	if n.boxes != nil {
		n.group.Go(func(ctx context.Context) { delay.Every(ctx, boxesPeriod, n.boxesStep) })
	}
	klog.InfoS("started", "role", n.Config.Role, "box", n.Config.Box, "listen", n.Config.Listen,
		"offset", n.Store.Position().Offset)
}

// Go runs a role's own work until Stop.
func (n *Node) Go(f func(ctx context.Context)) { n.group.Go(f) }

// Every runs a role's step at a period until Stop.
func (n *Node) Every(period time.Duration, step func(context.Context)) {
	n.group.Go(func(ctx context.Context) { delay.Every(ctx, period, step) })
}

// Leave tells the peers that this process is going, and returns once every entry that
// lives knows it, or does not answer for tellTime: until then an entry may name this process to callers.
func (n *Node) Leave(ctx context.Context) {
	n.Members.Leave()
	n.Timeline.Add(timeline.Event{Kind: timeline.KindLeaving})
	for _, a := range n.Members.RandomPeers(2*pokes, "") {
		n.sync(ctx, a, false)
	}
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	told := map[graniteknot.Address]bool{n.Config.Listen: true}
	for ctx.Err() == nil && !n.tellEntries(ctx, told) {
		delay.For(ctx, tellPause)
	}
}

// tellEntries tells the entries that were not told yet; true when none is left.
func (n *Node) tellEntries(ctx context.Context, told map[graniteknot.Address]bool) bool {
	whole := true
	for _, m := range n.Members.Members(member.RoleEntry) {
		if told[m.Address] || m.State == member.StateDead || m.State == member.StateLeaving {
			continue
		}
		told[m.Address] = n.sync(ctx, m.Address, false)
		whole = whole && told[m.Address]
	}
	return whole
}

// Stop ends the node's own work.
func (n *Node) Stop() {
	n.group.Stop()
	n.Timeline.Add(timeline.Event{Kind: timeline.KindStopped})
	n.Client.Close()
}

// BoxLeaving tells whether the platform's list says that an address leaves.
func (n *Node) BoxLeaving(a graniteknot.Address) bool {
	l := n.leaving.Load()
	if l == nil {
		return false
	}
	_, ok := l.addresses[a]
	return ok
}
