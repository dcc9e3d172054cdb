package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/readers"
	"graniteknot.org/go/internal/delay"
)

// In a large deployment a few gateways read the store, and the others ask them whether their own
// state is still the newest. In any deployment a gateway that has lost access to the store asks
// those that may have it. A gateway that learns of a change fetches the records, as the store
// returned them, from the one that answered. An answer confirms as much as a read that began when
// the query was sent, less the age in the answer. Time spent in transit or in a suspended process
// only makes the answer older.

const (
	// revalidatePause is the pause between two queries.
	revalidatePause = 400 * time.Millisecond
	// revalidateTimeout bounds a query to one gateway.
	revalidateTimeout = 120 * time.Millisecond
	// revalidateTries is how many gateways are asked before the store is read: all readers,
	// several of which may have lost access to the store.
	revalidateTries = 6
	// unreadTimeout is how long a gateway that has just started waits for readers that have not
	// read anything yet, before it reads the store.
	unreadTimeout = 3 * time.Second
	// unreadPause is the pause between two queries meanwhile.
	unreadPause = 60 * time.Millisecond
)

// Queries between gateways.
const (
	querySettings presence.QueryKind = 16
	queryReplicas presence.QueryKind = 17
)

// errNotRead means that the queried gateway has not read the topic yet.
var errNotRead = errors.New("topic not read yet")

// confirmation is what a reader's answer confirms about a topic.
type confirmation struct {
	// peer is the reader that was asked; Standing is its answer, which confirms the state as of
	// asOf.
	peer presence.Member
	readers.TopicStatus
	asOf time.Time
	// unread is set if the reader has not read the topic yet.
	unread bool
	// answered is set if a reader answered without confirming anything.
	answered bool
}

// source returns the source of the confirmed state.
func (c *confirmation) source() recordSource { return recordSource{c.peer.Box, c.Reader} }

// revalidateSettings reports whether a reader confirms that the configuration is the newest, or
// provides a newer one.
func (g *Gateway) revalidateSettings(ctx context.Context) bool {
	peers := g.peersToAsk(querySettings, g.Clock.Now())
	if len(peers) == 0 {
		return false
	}
	c, ok := g.askUntilRead(ctx, peers, querySettings, g.maxAnswerAge(querySettings))
	if !ok {
		return !g.shouldCallStore(querySettings, c.answered, g.Clock.Now())
	}
	now := g.Clock.Now()
	tree, age := g.Catalog.Current(now)
	switch {
	case tree != nil && c.State == uint64(tree.Version):
		g.settingsSource.Store(&recordSource{c.peer.Box, c.Reader})
		return g.Catalog.Prove(tree.Version, c.asOf)
	case tree != nil && c.State < uint64(tree.Version):
		// The reader has not seen the version yet that this gateway got from another one.
		return age < settingsMaxAge
	}
	records, ok := g.fetchRecords(ctx, &c, querySettingsPart)
	if !ok {
		return false
	}
	g.applyPeerSettings(records, c.asOf, c.source())
	tree, _ = g.Catalog.Current(now)
	return tree != nil && uint64(tree.Version) >= c.State
}

// revalidateReplicas reports whether a reader confirms the known replicas, or provides others. A
// gateway that others read for, and that has to read by itself since they confirm nothing, can't know
// whether the store was unavailable to them.
func (g *Gateway) revalidateReplicas(ctx context.Context) bool {
	confirmed := g.confirmReplicas(ctx)
	now := g.Clock.Now()
	if age, read := g.freshness.age(now); !confirmed && read && age > g.maxAnswerAge(queryReplicas) && g.usesReaders(now) && !g.isReader(now) {
		g.Health.RecordUnconfirmed(now.Add(-age), now)
	}
	return confirmed
}

// confirmReplicas implements revalidateReplicas.
func (g *Gateway) confirmReplicas(ctx context.Context) bool {
	peers := g.peersToAsk(queryReplicas, g.Clock.Now())
	if len(peers) == 0 {
		return false
	}
	maxAge := g.maxAnswerAge(queryReplicas)
	c, ok := g.askUntilRead(ctx, peers, queryReplicas, maxAge)
	if !ok {
		return g.replicasRecent(maxAge) || !g.shouldCallStore(queryReplicas, c.answered, g.Clock.Now())
	}
	if c.StoreHealthy {
		g.Health.RecordPeerRead(c.asOf)
	}
	now := g.Clock.Now()
	age, read := g.freshness.age(now)
	switch {
	case read && c.State == uint64(g.Fleet.Digest()):
		if c.asOf.After(now.Add(-age)) {
			// The reader knows whether replicas whose records lapsed came back, and removes those
			// that did not. What it read before this gateway did says nothing about these.
			g.Fleet.ClearLapsed()
		}
		g.freshness.confirm(c.asOf)
		return true
	case read && !c.asOf.After(now.Add(-age)):
		// This gateway's state is newer than the reader's.
		return age < maxAge
	}
	records, ok := g.fetchRecords(ctx, &c, queryReplicasPart)
	if !ok {
		g.freshness.prefer(g.freshness.preferredReader() + 1)
		return g.replicasRecent(maxAge)
	}
	// The records may be newer than the state that the reader confirmed.
	g.applyPeerReplicas(records, c.asOf)
	return true
}

// replicasRecent reports whether a gateway that is not a reader need not read the replica records
// itself, although no reader provides them: until the next query they are no older than an answer may
// be. Otherwise all gateways would read them from the store whenever the readers are too busy, as
// when many replicas start.
func (g *Gateway) replicasRecent(maxAge time.Duration) bool {
	now := g.Clock.Now()
	age, read := g.freshness.age(now)
	return read && age+revalidatePause < maxAge && g.usesReaders(now) && !g.isReader(now)
}

// fetchRecords fetches the records of a reader whose state differs. Otherwise nearly all gateways
// would read all records from the store after each change.
func (g *Gateway) fetchRecords(ctx context.Context, c *confirmation, kind presence.QueryKind) ([]graniteknot.KeyedRecord, bool) {
	records, err := g.socket.Fetch(ctx, c.peer.PeerAddress, kind)
	if err != nil {
		g.Log.Warn("records of a reader", slog.String("reader", string(c.peer.Box)), slog.String("error", err.Error()))
		return nil, false
	}
	g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "taken"})
	return records, true
}

// askUntilRead asks readers for the state of a topic until one has read it, as after a start of
// all gateways at once.
func (g *Gateway) askUntilRead(ctx context.Context, peers []presence.Member, kind presence.QueryKind, maxAge time.Duration) (confirmation, bool) {
	for {
		c, ok := g.askReaders(ctx, peers, kind, maxAge)
		if !c.unread {
			return c, ok
		}
		if g.Clock.Since(g.startedAt) > unreadTimeout || ctx.Err() != nil {
			return confirmation{}, false
		}
		delay.For(ctx, unreadPause)
	}
}

// askReaders asks readers in turn for the state of a topic, and returns it with the time as of
// which it is confirmed; false if none has a recent enough state.
func (g *Gateway) askReaders(ctx context.Context, peers []presence.Member, kind presence.QueryKind, maxAge time.Duration) (confirmation, bool) {
	answered := false
	first := g.freshness.preferredReader()
	for i := range min(revalidateTries, len(peers)) {
		reader := peers[(first+i)%len(peers)]
		asked := g.Clock.Now()
		answer, err := g.askPeer(ctx, reader.PeerAddress, kind)
		if errors.Is(err, errNotRead) {
			return confirmation{peer: reader, unread: true}, true
		}
		answered = answered || err == nil
		asOf := asked.Add(-answer.Age)
		if err == nil && g.Clock.Since(asOf) < maxAge {
			g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "proved"})
			g.freshness.prefer(first + i)
			g.freshness.unconfirmedFor(kind, false, asked)
			return confirmation{peer: reader, TopicStatus: answer, asOf: asOf}, true
		}
		g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "doubted"})
		if err == nil || ctx.Err() == nil {
			g.Log.Info("reader doubted", slog.String("reader", string(reader.Box)), slog.Int("kind", int(kind)),
				eventlog.Milliseconds("age", g.Clock.Since(asOf)), slog.String("read_by", string(answer.Reader)), slog.Any("error", err))
		}
	}
	return confirmation{answered: answered}, false
}

// askPeer asks a gateway for the state of a topic.
func (g *Gateway) askPeer(ctx context.Context, to graniteknot.Address, kind presence.QueryKind) (readers.TopicStatus, error) {
	bounded, cancel := context.WithTimeout(ctx, revalidateTimeout)
	defer cancel()
	body, err := g.socket.Ask(bounded, to, kind, nil)
	if err != nil {
		return readers.TopicStatus{}, err
	}
	if len(body) == 0 {
		return readers.TopicStatus{}, errNotRead
	}
	answer, err := readers.DecodeTopicStatus(body)
	if err == nil && kind == querySettings {
		g.mergeEvacuations(&answer.Evacuations, string(to))
	}
	return answer, err
}

// answerPeer answers another process's query. The answer is empty if this gateway has not read the
// topic yet.
func (g *Gateway) answerPeer(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
	if out, handled, err := g.discovery.HandleQuery(kind, body); handled {
		return out, err
	}
	now := g.Clock.Now()
	switch kind {
	case querySettingsPart, queryReplicasPart:
		return g.recordCache.part(kind, body)
	case queryWitness:
		w := g.Health.Witness(now)
		return readers.EncodeWitness(&w), nil
	case queryQuarantinePart:
		return g.quarantinePacks.ServePart(body, g.packQuarantine)
	case querySettings:
		tree, age := g.Catalog.Current(now)
		if tree == nil {
			return nil, nil
		}
		status := g.topicStatus(uint64(tree.Version), age)
		status.Reader, status.Evacuations = g.settingsSource.Load().reader, g.Evacuations.State()
		return status.Encode(), nil
	case queryReplicas:
		// The age is taken before the digest, so that a change in between cannot make the state
		// look newer than it is.
		age, ok := g.freshness.age(now)
		if !ok {
			return nil, nil
		}
		status := g.topicStatus(uint64(g.Fleet.Digest()), age)
		return status.Encode(), nil
	}
	return nil, readers.ErrMalformed
}

// topicStatus returns this gateway's answer on a topic.
func (g *Gateway) topicStatus(state uint64, age time.Duration) readers.TopicStatus {
	now := g.Clock.Now()
	w := g.Health.Witness(now)
	healthy := !g.Health.RecentOutage(now, outageGrace) && w.Recent(outageGrace)
	return readers.TopicStatus{State: state, Age: age, StoreHealthy: healthy}
}
