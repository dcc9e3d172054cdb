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
	// queryQuarantinePart asks for a part of what is known.
	queryQuarantinePart presence.Kind = 22
	// maxEntriesPerDatagram is how many entries one datagram holds, of at most 45 bytes each.
	maxEntriesPerDatagram = 20
	// quarantineReadWait is how long one read of the records waits for a change.
	quarantineReadWait = 20 * time.Second
	// quarantineReaders is how many gateways read the records where they do so for all.
	quarantineReaders = 2
	// quarantineReadSpacing is the least time between two reads.
	quarantineReadSpacing = 300 * time.Millisecond
	// quarantineReaderCheck is the time between two looks whether other gateways still read
	// the records, where they do so for all.
	quarantineReaderCheck = time.Second
	// quarantineWritePeriod is the time between two looks whether the store has a record of each
	// request that is kept from replicas. Whoever found it out writes it; had that
	// process ended, another does after wardPatience.
	quarantineWritePeriod = 500 * time.Millisecond
	quarantineWriteDelay  = 1500 * time.Millisecond
)

// onQuarantineChange tells what an own request showed.
func (g *Gateway) onQuarantineChange(e quarantine.Entry) {
	g.logQuarantined(&e)
	g.quarantineReplication.scheduleWrite(&e, g.Clock.Now())
	g.sendQuarantine([]quarantine.Entry{e}, g.Members.Audience(g.Config.Box, g.Clock.Now()))
	if g.relaying.Load() {
		g.sendQuarantine([]quarantine.Entry{e}, g.Members.InZone(g.self()))
	}
}

// logQuarantined tells of a request that is kept from replicas from now on, or no more.
func (g *Gateway) logQuarantined(e *quarantine.Entry) {
	switch {
	case e.Blocks():
		g.Log.Warn("request quarantined", slog.String("identity", e.Key.String()), slog.Int("replicas", len(e.Lives)))
	case e.Suspect && !e.Released:
		g.Log.Warn("request suspected", slog.String("identity", e.Key.String()))
	case e.Released:
		g.Log.Info("request released", slog.String("identity", e.Key.String()), slog.Int("replicas", len(e.Lives)))
	}
}

// sendQuarantine tells other gateways entries, few enough for a datagram.
func (g *Gateway) sendQuarantine(entries []quarantine.Entry, to []graniteknot.Address) {
	body, err := quarantine.Encode(entries)
	if err != nil {
		g.Log.Warn("quarantine", slog.String("error", err.Error()))
		return
	}
	g.socket.Send(presence.Message{Quarantined: body}, to)
}

// receiveQuarantine takes in what another gateway told; a relay passes on what is new.
func (g *Gateway) receiveQuarantine(m *presence.Message, now time.Time) {
	entries, err := quarantine.Decode(m.Quarantined)
	if err != nil {
		g.Log.Warn("quarantine", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	fresh := g.mergeQuarantine(entries, now)
	if len(fresh) > 0 && g.relaying.Load() {
		g.sendQuarantine(fresh, g.Members.InZone(g.self()))
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
			g.quarantineReplication.scheduleWrite(&whole, now.Add(quarantineWriteDelay))
		}
	}
	return fresh
}

// fetchQuarantine takes what another gateway knows where its digest differs.
func (g *Gateway) fetchQuarantine(m *presence.Message) {
	if m.Quarantine == 0 || m.Quarantine == g.Quarantine.Digest() || !g.quarantineReplication.digestChanged(m.Box, m.Quarantine) {
		return
	}
	box, from := m.Box, m.Self.Peers
	g.group.Go(func(ctx context.Context) {
		records, err := g.socket.Fetch(ctx, from, queryQuarantinePart)
		if err != nil {
			g.quarantineReplication.forgetDigest(box)
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
				g.sendQuarantine(fresh, g.Members.InZone(g.self()))
			}
		}
	})
}

// packQuarantine packs all entries, some in a record.
func (g *Gateway) packQuarantine() (presence.Packed, error) {
	var records []graniteknot.KeyedRecord
	entries := g.Quarantine.Entries(g.Clock.Now())
	for len(entries) > 0 {
		n := min(maxEntriesPerDatagram, len(entries))
		value, err := quarantine.Encode(entries[:n])
		if err != nil {
			return nil, err
		}
		records, entries = append(records, graniteknot.KeyedRecord{Value: value}), entries[n:]
	}
	return presence.Pack(records)
}

// followQuarantine reads the records. In a large deployment the gateways that read for
// all do, and their digests tell the others.
func (g *Gateway) followQuarantine(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicQuarantine, Health: &g.Health, Clock: g.Clock, Wait: quarantineReadWait, Spacing: quarantineReadSpacing,
		Newest: g.applyQuarantineRecords, Next: g.applyQuarantineRecords, Early: true, RevalidatePause: quarantineReaderCheck,
		Revalidate: func(context.Context) bool { return !g.readsQuarantine(g.Clock.Now()) },
		Renewed:    func(graniteknot.Era) { g.rewriteQuarantine() },
	}
	f.Run(ctx)
}

// rewriteQuarantine has the records written again that the store lost when it came back from
// an older copy. All that read them find that out at once, so each waits for a while of its
// own, and the first one's records tell the others.
func (g *Gateway) rewriteQuarantine() {
	now := g.Clock.Now()
	g.quarantineReplication.resetStored()
	for _, e := range g.Quarantine.Entries(now) {
		g.quarantineReplication.scheduleWrite(&e, now.Add(rand.N(quarantineWriteDelay)))
	}
}

// readsQuarantine tells whether this gateway reads the records itself.
func (g *Gateway) readsQuarantine(now time.Time) bool {
	return !g.usesReaders(now) || g.isAmongFirstReaders(quarantineReaders, now)
}

func (g *Gateway) applyQuarantineRecords(records []graniteknot.KeyedRecord, _ time.Time) {
	now := g.Clock.Now()
	for _, r := range records {
		e, err := quarantine.EntryOf(r)
		if err != nil {
			g.reportMalformed("quarantine", r, err)
			continue
		}
		g.quarantineReplication.markStored(&e)
		if whole, known := g.Quarantine.Entry(e.Key, now); known && whole.Released && e.Blocks() {
			// A copy of the store has it from before its release.
			g.quarantineReplication.scheduleWrite(&whole, now.Add(rand.N(quarantineWriteDelay)))
		}
		if g.Quarantine.Merge(&e, now) {
			g.Log.Info("quarantine record", slog.String("identity", r.Key), slog.Bool("released", e.Released), slog.Int64("position", r.At.Offset()))
		}
	}
}

// maintainQuarantine writes the records that the store lacks, and has entries go that have
// stood for long enough.
func (g *Gateway) maintainQuarantine() {
	now := g.Clock.Now()
	for _, k := range g.Quarantine.Expire(now) {
		g.quarantineReplication.scheduleWrite(&quarantine.Entry{Key: k, Released: true}, now)
	}
	if !g.readsQuarantine(now) {
		return
	}
	for _, k := range g.quarantineReplication.dueWrites(now) {
		if !g.writeQuarantineRecord(k, now) {
			return
		}
	}
}

// writeQuarantineRecord writes the record of one request; one that fails is tried again with
// the next look.
func (g *Gateway) writeQuarantineRecord(k quarantine.Key, now time.Time) bool {
	e, known := g.Quarantine.Entry(k, now)
	if !known {
		e = quarantine.Entry{Key: k, Released: true}
	}
	r, err := quarantine.RecordOf(&e)
	if err == nil {
		_, err = g.Store.Append(g.group.Context(), graniteknot.TopicQuarantine, r)
	}
	if err != nil {
		g.Log.Warn("quarantine record", slog.String("identity", k.String()), slog.String("error", err.Error()))
		return false
	}
	g.quarantineReplication.markStored(&e)
	return true
}
