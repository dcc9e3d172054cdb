package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/watch"
)

// A request that ends replicas comes again at any gateway, so what one learns of it is
// worth nothing unless all know it. It is told at once by datagram; hellos carry a digest,
// and who hears another one takes the rest, so that lost datagrams and cut links leave
// nothing out. Requests that are kept from replicas stand in the store as well, for
// gateways that reach no other and for the time after all have ended.

const (
	// askQuarantinePart asks for a part of what is known.
	askQuarantinePart presence.QueryKind = 22
	// mostTold is how many entries one datagram holds, of at most 45 bytes each.
	mostTold = 20
	// quarantineWait is how long one read of the records waits for a change.
	quarantineWait = 20 * time.Second
	// quarantineReaders is how many gateways read the records where they do so for all.
	quarantineReaders = 2
	// quarantineSpacing is the least time between two reads.
	quarantineSpacing = 300 * time.Millisecond
	// quarantinePause is the time between two looks whether other gateways still read
	// the records, where they do so for all.
	quarantinePause = time.Second
	// wardPeriod is the time between two looks whether the store has a record of each
	// request that is kept from replicas. Whoever found it out writes it; had that
	// process ended, another does after wardPatience.
	wardPeriod   = 500 * time.Millisecond
	wardPatience = 1500 * time.Millisecond
)

// quarantineChanged tells what an own request showed.
func (g *Gateway) quarantineChanged(e quarantine.Entry) {
	g.logQuarantined(&e)
	g.ward.expect(&e, g.Clock.Now())
	g.tellQuarantine([]quarantine.Entry{e}, g.Members.DirectGateways(g.Config.Box, g.Clock.Now()))
	if g.relaying.Load() {
		g.tellQuarantine([]quarantine.Entry{e}, g.Members.ZoneGateways(g.self()))
	}
}

// logQuarantined tells of a request that is kept from replicas from now on, or no more.
func (g *Gateway) logQuarantined(e *quarantine.Entry) {
	switch {
	case e.Quarantined():
		g.Log.Warn("request quarantined", slog.String("identity", e.Key.String()), slog.Int("replicas", len(e.CrashedReplicas)))
	case e.Suspect && !e.Released:
		g.Log.Warn("request suspected", slog.String("identity", e.Key.String()))
	case e.Released:
		g.Log.Info("request released", slog.String("identity", e.Key.String()), slog.Int("replicas", len(e.CrashedReplicas)))
	}
}

// tellQuarantine tells other gateways entries, few enough for a datagram.
func (g *Gateway) tellQuarantine(entries []quarantine.Entry, to []graniteknot.Address) {
	body, err := quarantine.Encode(entries)
	if err != nil {
		g.Log.Warn("quarantine", slog.String("error", err.Error()))
		return
	}
	g.socket.Send(presence.Message{QuarantineRecords: body}, to)
}

// quarantineHeard takes in what another gateway told; a relay passes on what is new.
func (g *Gateway) quarantineHeard(m *presence.Message, now time.Time) {
	entries, err := quarantine.Decode(m.QuarantineRecords)
	if err != nil {
		g.Log.Warn("quarantine", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	fresh := g.mergeQuarantine(entries, now)
	if len(fresh) > 0 && g.relaying.Load() {
		g.tellQuarantine(fresh, g.Members.ZoneGateways(g.self()))
	}
}

// mergeQuarantine takes in entries and returns those that said something new.
func (g *Gateway) mergeQuarantine(entries []quarantine.Entry, now time.Time) []quarantine.Entry {
	var fresh []quarantine.Entry
	for i := range entries {
		if !g.Quarantine.Merge(&entries[i], now) {
			continue
		}
		// Together with what was known it may say more than what was told.
		if whole, known := g.Quarantine.Entry(entries[i].Key, now); known {
			fresh = append(fresh, whole)
			g.logQuarantined(&whole)
			g.ward.expect(&whole, now.Add(wardPatience))
		}
	}
	return fresh
}

// compareQuarantine takes what another gateway knows where its digest differs.
func (g *Gateway) compareQuarantine(m *presence.Message) {
	if m.QuarantineDigest == 0 || m.QuarantineDigest == g.Quarantine.Digest() || !g.ward.differs(m.Box, m.QuarantineDigest) {
		return
	}
	box, from := m.Box, m.Self.PeerAddress
	g.group.Go(func(ctx context.Context) {
		records, err := g.socket.Fetch(ctx, from, askQuarantinePart)
		if err != nil {
			g.ward.forget(box)
			return
		}
		now := g.Clock.Now()
		for _, r := range records {
			entries, err := quarantine.Decode(r.Value)
			if err != nil {
				g.Log.Warn("quarantine", slog.String("peer", string(box)), slog.String("error", err.Error()))
				continue
			}
			fresh := g.mergeQuarantine(entries, now)
			if len(fresh) > 0 && g.relaying.Load() {
				g.tellQuarantine(fresh, g.Members.ZoneGateways(g.self()))
			}
		}
	})
}

// packQuarantine packs all entries, some in a record.
func (g *Gateway) packQuarantine() (presence.PackedRecords, error) {
	var records []graniteknot.KeyedRecord
	entries := g.Quarantine.Entries(g.Clock.Now())
	for len(entries) > 0 {
		n := min(mostTold, len(entries))
		value, err := quarantine.Encode(entries[:n])
		if err != nil {
			return nil, err
		}
		records, entries = append(records, graniteknot.KeyedRecord{Value: value}), entries[n:]
	}
	return presence.PackRecords(records)
}

// followQuarantine reads the records. In a large deployment the gateways that read for
// all do, and their digests tell the others.
func (g *Gateway) followQuarantine(ctx context.Context) {
	g.meet(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicQuarantine, Health: &g.Health, Clock: g.Clock, PollWait: quarantineWait, MinReadInterval: quarantineSpacing,
		OnNewest: g.takeQuarantine, OnNext: g.takeQuarantine, RevalidateFirst: true, RevalidateInterval: quarantinePause,
		Revalidate: func(context.Context) bool { return !g.readsQuarantine(g.Clock.Now()) },
		OnRestore:  func(graniteknot.Era) { g.renewQuarantine() },
	}
	f.Run(ctx)
}

// renewQuarantine has the records written again that the store lost when it came back from
// an older copy. All that read them find that out at once, so each waits for a while of its
// own, and the first one's records tell the others.
func (g *Gateway) renewQuarantine() {
	now := g.Clock.Now()
	g.ward.renew()
	for _, e := range g.Quarantine.Entries(now) {
		g.ward.expect(&e, now.Add(rand.N(wardPatience)))
	}
}

// readsQuarantine tells whether this gateway reads the records itself.
func (g *Gateway) readsQuarantine(now time.Time) bool {
	return !g.many(now) || g.readsFirst(quarantineReaders, now)
}

func (g *Gateway) takeQuarantine(records []graniteknot.KeyedRecord, _ time.Time) {
	now := g.Clock.Now()
	for _, r := range records {
		e, err := quarantine.DecodeRecord(r)
		if err != nil {
			g.malformed("quarantine", r, err)
			continue
		}
		g.ward.store(&e)
		if whole, known := g.Quarantine.Entry(e.Key, now); known && whole.Released && e.Quarantined() {
			// A copy of the store has it from before its release.
			g.ward.expect(&whole, now.Add(rand.N(wardPatience)))
		}
		if g.Quarantine.Merge(&e, now) {
			g.Log.Info("quarantine record", slog.String("identity", r.Key), slog.Bool("released", e.Released), slog.Int64("position", r.At.Offset()))
		}
	}
}

// keepQuarantine writes the records that the store lacks, and has entries go that have
// stood for long enough.
func (g *Gateway) keepQuarantine() {
	now := g.Clock.Now()
	for _, k := range g.Quarantine.Expire(now) {
		g.ward.expect(&quarantine.Entry{Key: k, Released: true}, now)
	}
	if !g.readsQuarantine(now) {
		return
	}
	for _, k := range g.ward.missing(now) {
		if !g.writeQuarantine(k, now) {
			return
		}
	}
}

// writeQuarantine writes the record of one request; one that fails is tried again with
// the next look.
func (g *Gateway) writeQuarantine(k quarantine.Key, now time.Time) bool {
	e, known := g.Quarantine.Entry(k, now)
	if !known {
		e = quarantine.Entry{Key: k, Released: true}
	}
	r, err := quarantine.EncodeRecord(&e)
	if err == nil {
		_, err = g.Store.Append(g.group.Context(), graniteknot.TopicQuarantine, r)
	}
	if err != nil {
		g.Log.Warn("quarantine record", slog.String("identity", k.String()), slog.String("error", err.Error()))
		return false
	}
	g.ward.store(&e)
	return true
}
