package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/delay"
)

// Requests and prompt parts that crash replicas come to any gateway, so all gateways have to know
// of them. An entry is sent at once by datagram. Heartbeats carry a digest of all entries, and a gateway that
// receives a different digest fetches the entries, which covers lost datagrams and network
// partitions. Quarantined requests are also stored, for gateways that reach no other one and for a
// restart of all gateways.

const (
	// queryQuarantinePart requests a part of the known entries.
	queryQuarantinePart presence.QueryKind = 22
	// maxEntryBytes is how many bytes of entries one datagram holds.
	maxEntryBytes = 900
	// evidenceDelay bounds the random delay before this gateway sends what it knows in favor of
	// prompt parts. Most gateways know the same, and the first one's message saves the others'.
	evidenceDelay = 400 * time.Millisecond
	// quarantineReadWait is how long a read of the records long-polls for a change.
	quarantineReadWait = 20 * time.Second
	// quarantineReaders is how many gateways read the records in a large deployment.
	quarantineReaders = 2
	// quarantineReadSpacing is the minimum interval between two reads.
	quarantineReadSpacing = 300 * time.Millisecond
	// quarantineReaderCheck is the interval at which a gateway that does not read the records
	// checks whether others still do.
	quarantineReaderCheck = time.Second
	// quarantineWritePeriod is the interval of maintainQuarantine. The gateway that quarantined a
	// request writes its record; if that process has ended, another one does after
	// quarantineWriteDelay.
	quarantineWritePeriod = 500 * time.Millisecond
	quarantineWriteDelay  = 1500 * time.Millisecond
)

// onQuarantineChange sends entries that changed because of a request of this gateway.
func (g *Gateway) onQuarantineChange(changed []quarantine.Entry) {
	now := g.Clock.Now()
	for i := range changed {
		g.logQuarantined(&changed[i])
		g.quarantineReplication.scheduleWrite(&changed[i], now)
	}
	g.broadcastQuarantine(changed)
}

// broadcastQuarantine sends entries to all gateways.
func (g *Gateway) broadcastQuarantine(entries []quarantine.Entry) {
	g.sendQuarantine(entries, g.Members.DirectGateways(g.Config.Box, g.Clock.Now()))
	if g.relaying.Load() {
		g.sendQuarantine(entries, g.Members.ZoneGateways(g.self()))
	}
}

// onQuarantineEvidence sends what this gateway knows in favor of prompt parts, unless it hears the
// same from another gateway first.
func (g *Gateway) onQuarantineEvidence() {
	if !g.evidencePending.CompareAndSwap(false, true) {
		return
	}
	g.group.Go(func(ctx context.Context) {
		delay.For(ctx, rand.N(evidenceDelay))
		g.evidencePending.Store(false)
		entries := g.Quarantine.TakeEvidence(g.Clock.Now())
		if len(entries) == 0 {
			return
		}
		for i := range entries {
			g.quarantineReplication.scheduleWrite(&entries[i], g.Clock.Now())
		}
		g.broadcastQuarantine(entries)
	})
}

// mayTryPart reports whether it is this gateway's turn to let one request with a quarantined prompt
// part through.
func (g *Gateway) mayTryPart(part quarantine.Key, slot int64) bool {
	list := append(g.Members.ReadyMembers(presence.RoleGateway, g.Config.Box, g.Clock.Now()), g.self())
	return ownerIndex(list, fmt.Sprintf("%s/%d", part, slot)) == len(list)-1
}

// logQuarantined logs that a request or part is quarantined, suspected or released.
func (g *Gateway) logQuarantined(e *quarantine.Entry) {
	fields := []slog.Attr{slog.String("identity", e.Key.String()), slog.Int("replicas", len(e.CrashedReplicas))}
	switch {
	case e.Part && g.Quarantine.Blames(e.Key):
		g.Log.Warn("prompt part quarantined", append(fields, slog.Int("survived", len(e.Survived)), slog.Bool("served_before", e.ServedBefore))...)
	case e.Part:
	case e.Quarantined():
		g.Log.Warn("request quarantined", fields...)
	case e.Suspect && !e.Released:
		g.Log.Warn("request suspected", slog.String("identity", e.Key.String()))
	case e.Released:
		g.Log.Info("request released", fields...)
	}
}

// sendQuarantine sends entries to other gateways.
func (g *Gateway) sendQuarantine(entries []quarantine.Entry, to []graniteknot.Address) {
	for _, group := range quarantine.Split(entries, maxEntryBytes) {
		body, err := quarantine.Encode(group)
		if err != nil {
			g.Log.Warn("quarantine entries not sent", slog.String("error", err.Error()))
			return
		}
		g.socket.Send(presence.Message{QuarantineRecords: body}, to)
	}
}

// receiveQuarantine merges entries that another gateway sent; a relay forwards the new ones.
func (g *Gateway) receiveQuarantine(m *presence.Message, now time.Time) {
	entries, err := quarantine.Decode(m.QuarantineRecords)
	if err != nil {
		g.Log.Warn("malformed quarantine entries", slog.String("peer", string(m.Box)), slog.String("error", err.Error()))
		return
	}
	changed := g.mergeQuarantine(entries, now)
	if len(changed) > 0 && g.relaying.Load() {
		g.sendQuarantine(changed, g.Members.ZoneGateways(g.self()))
	}
}

// mergeQuarantine merges entries and returns those that changed, in their merged form.
func (g *Gateway) mergeQuarantine(entries []quarantine.Entry, now time.Time) []quarantine.Entry {
	var changed []quarantine.Entry
	for i := range entries {
		if !g.Quarantine.Merge(&entries[i], now) {
			continue
		}
		// The merged entry may hold more than the one received.
		if merged, known := g.Quarantine.Entry(entries[i].Key, now); known {
			changed = append(changed, merged)
			g.logQuarantined(&merged)
			g.quarantineReplication.scheduleWrite(&merged, now.Add(quarantineWriteDelay))
		}
	}
	return changed
}

// fetchQuarantine fetches another gateway's entries if its digest differs from this gateway's.
func (g *Gateway) fetchQuarantine(m *presence.Message) {
	if m.QuarantineDigest == 0 || m.QuarantineDigest == g.Quarantine.Digest() || !g.quarantineReplication.digestChanged(m.Box, m.QuarantineDigest) {
		return
	}
	box, from := m.Box, m.Self.PeerAddress
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
				g.Log.Warn("malformed quarantine entries", slog.String("peer", string(box)), slog.String("error", err.Error()))
				continue
			}
			changed := g.mergeQuarantine(entries, now)
			if len(changed) > 0 && g.relaying.Load() {
				g.sendQuarantine(changed, g.Members.ZoneGateways(g.self()))
			}
		}
	})
}

// packQuarantine packs all entries into records of up to maxEntryBytes bytes.
func (g *Gateway) packQuarantine() (presence.PackedRecords, error) {
	var records []graniteknot.KeyedRecord
	for _, group := range quarantine.Split(g.Quarantine.Entries(g.Clock.Now()), maxEntryBytes) {
		value, err := quarantine.Encode(group)
		if err != nil {
			return nil, err
		}
		records = append(records, graniteknot.KeyedRecord{Value: value})
	}
	return presence.PackRecords(records)
}

// followQuarantine follows the records in the store. In a large deployment only the first readers
// do, and the digests in their heartbeats reach the others.
func (g *Gateway) followQuarantine(ctx context.Context) {
	g.awaitMembers(ctx)
	f := watch.Follower{
		Store: g.Store, Topic: graniteknot.TopicQuarantine, Health: &g.Health, Clock: g.Clock, PollWait: quarantineReadWait, MinReadInterval: quarantineReadSpacing,
		OnNewest: g.applyQuarantineRecords, OnNext: g.applyQuarantineRecords, RevalidateFirst: true, RevalidateInterval: quarantineReaderCheck,
		Revalidate: func(context.Context) bool { return !g.readsQuarantine(g.Clock.Now()) },
		OnRestore:  func(graniteknot.Era) { g.rewriteQuarantine() },
	}
	f.Run(ctx)
}

// rewriteQuarantine schedules writing the records that the store lost when it was restored from an
// older copy. All readers find that out at once, so each waits for a random time, and the records
// of the first one reach the others.
func (g *Gateway) rewriteQuarantine() {
	now := g.Clock.Now()
	g.quarantineReplication.resetStored()
	for _, e := range g.Quarantine.Entries(now) {
		g.quarantineReplication.scheduleWrite(&e, now.Add(rand.N(quarantineWriteDelay)))
	}
}

// readsQuarantine reports whether this gateway reads the records itself.
func (g *Gateway) readsQuarantine(now time.Time) bool {
	return !g.usesReaders(now) || g.isAmongFirstReaders(quarantineReaders, now)
}

// applyQuarantineRecords merges records read from the store.
func (g *Gateway) applyQuarantineRecords(records []graniteknot.KeyedRecord, _ time.Time) {
	now := g.Clock.Now()
	for _, r := range records {
		e, err := quarantine.DecodeRecord(r)
		if err != nil {
			g.reportMalformed("quarantine", r, err)
			continue
		}
		g.quarantineReplication.markStored(&e)
		if own, known := g.Quarantine.Entry(e.Key, now); known && own.Released && e.Quarantined() {
			// The record is from before the release, in a store restored from an older copy.
			g.quarantineReplication.scheduleWrite(&own, now.Add(rand.N(quarantineWriteDelay)))
		}
		if g.Quarantine.Merge(&e, now) {
			g.Log.Info("quarantine record", slog.String("identity", r.Key), slog.Bool("released", e.Released), slog.Int64("position", r.At.Offset()))
		}
	}
}

// maintainQuarantine removes expired entries and writes the records that are out of date in the
// store.
func (g *Gateway) maintainQuarantine() {
	now := g.Clock.Now()
	for _, k := range g.Quarantine.Maintain(now) {
		g.quarantineReplication.scheduleWrite(&quarantine.Entry{Key: k, Released: true}, now)
	}
	g.watchSoftware()
	if !g.readsQuarantine(now) {
		return
	}
	for _, k := range g.quarantineReplication.dueWrites(now) {
		if !g.writeQuarantineRecord(k, now) {
			return
		}
	}
}

// writeQuarantineRecord writes the record of a request; a failed write is retried after
// quarantineWritePeriod.
func (g *Gateway) writeQuarantineRecord(k quarantine.Key, now time.Time) bool {
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
	g.quarantineReplication.markStored(&e)
	return true
}
