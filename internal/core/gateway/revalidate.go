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

// In a large deployment a few gateways read the store, and the others ask them
// whether what they know is still the newest. In any deployment a gateway that the
// store does not answer asks those that it may answer. Whoever hears that something has
// changed takes the records from the one who said so, as the store gave them. An
// answer proves as much as a read that began when the question was asked, less
// the age of the answer: how long question and answer were on their way, or
// either process stood still, only makes it older.

const (
	// revalidatePause is the time between two questions.
	revalidatePause = 400 * time.Millisecond
	// revalidateTimeout bounds a question to one gateway.
	revalidateTimeout = 120 * time.Millisecond
	// revalidateTries is how many gateways are asked before the store is read: all
	// readers, several of which the store may turn away.
	revalidateTries = 6
	// unreadTimeout is for how long a gateway that has just started waits for a reader
	// that has read nothing either, before it reads the store.
	unreadTimeout = 3 * time.Second
	// unreadPause is the time between two questions until then.
	unreadPause = 60 * time.Millisecond
)

// The questions that gateways ask each other.
const (
	querySettings presence.Kind = 16
	queryReplicas presence.Kind = 17
)

// The state of an answer's topic is unknown before the first read.
var errNotRead = errors.New("not read yet")

// confirmation is what a reader proves of a topic.
type confirmation struct {
	// peer is the reader that was asked; Standing is what it answered, as of at.
	peer presence.Member
	readers.Standing
	asOf time.Time
	// unread tells that the reader knows no state yet.
	unread bool
	// answered tells that a reader answered, but proved nothing.
	answered bool
}

// source is whose read the proof is, and who told it.
func (p *confirmation) source() recordSource { return recordSource{p.peer.Box, p.Reader} }

// revalidateSettings tells whether a reader proves that the tree is the newest, or
// hands on a newer one.
func (g *Gateway) revalidateSettings(ctx context.Context) bool {
	from := g.peersToAsk(querySettings, g.Clock.Now())
	if len(from) == 0 {
		return false
	}
	p, ok := g.askUntilRead(ctx, from, querySettings, g.maxAnswerAge(querySettings))
	if !ok {
		return !g.shouldCallStore(querySettings, p.answered, g.Clock.Now())
	}
	now := g.Clock.Now()
	tree, age := g.Catalog.Current(now)
	switch {
	case tree != nil && p.State == uint64(tree.Version):
		g.settingsSource.Store(&recordSource{p.peer.Box, p.Reader})
		return g.Catalog.Prove(tree.Version, p.asOf)
	case tree != nil && p.State < uint64(tree.Version):
		// The reader has yet to see what this gateway was told by another one.
		return age < settingsMaxAge
	}
	records, ok := g.fetchRecords(ctx, &p, querySettingsPart)
	if !ok {
		return false
	}
	g.applyPeerSettings(records, p.asOf, p.source())
	tree, _ = g.Catalog.Current(now)
	return tree != nil && uint64(tree.Version) >= p.State
}

// revalidateReplicas tells whether a reader proves that the replicas are known, or
// hands on others.
func (g *Gateway) revalidateReplicas(ctx context.Context) bool {
	from := g.peersToAsk(queryReplicas, g.Clock.Now())
	if len(from) == 0 {
		return false
	}
	trust := g.maxAnswerAge(queryReplicas)
	p, ok := g.askUntilRead(ctx, from, queryReplicas, trust)
	if !ok {
		return !g.shouldCallStore(queryReplicas, p.answered, g.Clock.Now())
	}
	if p.Sound {
		g.Health.Elsewhere(p.asOf)
	}
	now := g.Clock.Now()
	age, read := g.freshness.age(now)
	switch {
	case read && p.State == uint64(g.Fleet.Digest()):
		g.freshness.confirm(p.asOf)
		return true
	case read && !p.asOf.After(now.Add(-age)):
		// What this gateway knows is newer than what the reader does.
		return age < trust
	}
	records, ok := g.fetchRecords(ctx, &p, queryReplicasPart)
	if !ok {
		return false
	}
	g.applyPeerReplicas(records, p.asOf)
	return p.State == uint64(g.Fleet.Digest())
}

// fetchRecords takes records from a reader that has others: nearly all gateways would else call
// the store at each change, each of them for all records.
func (g *Gateway) fetchRecords(ctx context.Context, p *confirmation, kind presence.Kind) ([]graniteknot.KeyedRecord, bool) {
	records, err := g.socket.Fetch(ctx, p.peer.Peers, kind)
	if err != nil {
		g.Log.Warn("records of a reader", slog.String("reader", string(p.peer.Box)), slog.String("error", err.Error()))
		return nil, false
	}
	g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "taken"})
	return records, true
}

// askUntilRead asks readers for the state of a topic until one has read it, as after a start
// of all gateways at once.
func (g *Gateway) askUntilRead(ctx context.Context, from []presence.Member, kind presence.Kind, trust time.Duration) (confirmation, bool) {
	for {
		p, ok := g.askReaders(ctx, from, kind, trust)
		if !p.unread {
			return p, ok
		}
		if g.Clock.Since(g.startedAt) > unreadTimeout || ctx.Err() != nil {
			return confirmation{}, false
		}
		delay.For(ctx, unreadPause)
	}
}

// askReaders asks a reader or two for the state of a topic, and returns it with
// the time from which on it is proved; false when none knows it well enough.
func (g *Gateway) askReaders(ctx context.Context, from []presence.Member, kind presence.Kind, trust time.Duration) (confirmation, bool) {
	answered := false
	first := g.freshness.preferredReader()
	for i := range min(revalidateTries, len(from)) {
		reader := from[(first+i)%len(from)]
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, reader.Peers, kind)
		if errors.Is(err, errNotRead) {
			return confirmation{peer: reader, unread: true}, true
		}
		answered = answered || err == nil
		at := asked.Add(-told.Age)
		if err == nil && g.Clock.Since(at) < trust {
			g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "proved"})
			g.freshness.prefer(first + i)
			g.freshness.unconfirmedFor(kind, false, asked)
			return confirmation{peer: reader, Standing: told, asOf: at}, true
		}
		g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "doubted"})
		if err == nil || ctx.Err() == nil {
			g.Log.Info("reader doubted", slog.String("reader", string(reader.Box)), slog.Int("kind", int(kind)),
				eventlog.Milliseconds("age", g.Clock.Since(at)), slog.String("read_by", string(told.Reader)), slog.Any("error", err))
		}
	}
	return confirmation{answered: answered}, false
}

// askPeer asks a gateway for the state of a topic.
func (g *Gateway) askPeer(ctx context.Context, to graniteknot.Address, kind presence.Kind) (readers.Standing, error) {
	short, cancel := context.WithTimeout(ctx, revalidateTimeout)
	defer cancel()
	body, err := g.socket.Ask(short, to, kind, nil)
	if err != nil {
		return readers.Standing{}, err
	}
	if len(body) == 0 {
		return readers.Standing{}, errNotRead
	}
	return readers.DecodeStanding(body)
}

// answerPeer answers another process's question; a state that is not known yet with
// nothing.
func (g *Gateway) answerPeer(_ context.Context, kind presence.Kind, body []byte) ([]byte, error) {
	if out, mine, err := g.discovery.Answer(kind, body); mine {
		return out, err
	}
	now := g.Clock.Now()
	switch kind {
	case querySettingsPart, queryReplicasPart:
		return g.recordCache.part(kind, body)
	case queryQuarantinePart:
		return g.quarantinePacks.Part(body, g.packQuarantine)
	case querySettings:
		tree, age := g.Catalog.Current(now)
		if tree == nil {
			return nil, nil
		}
		return g.encodeStanding(uint64(tree.Version), age, g.settingsSource.Load().reader), nil
	case queryReplicas:
		// The age is taken first: a change in between makes the state newer.
		age, ok := g.freshness.age(now)
		if !ok {
			return nil, nil
		}
		return g.encodeStanding(uint64(g.Fleet.Digest()), age, ""), nil
	}
	return nil, readers.ErrMalformed
}

// encodeStanding is this gateway's answer on a topic.
func (g *Gateway) encodeStanding(state uint64, age time.Duration, reader graniteknot.BoxName) []byte {
	s := readers.Standing{State: state, Age: age, Sound: !g.Health.Doubtful(g.Clock.Now(), outageGrace), Reader: reader}
	return s.Encode()
}
