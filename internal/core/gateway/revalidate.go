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
	// revalidateTime bounds a question to one gateway.
	revalidateTime = 120 * time.Millisecond
	// revalidateTries is how many gateways are asked before the store is read: all
	// readers, several of which the store may turn away.
	revalidateTries = 6
	// unreadPatience is for how long a gateway that has just started waits for a reader
	// that has read nothing either, before it reads the store.
	unreadPatience = 3 * time.Second
	// unreadPause is the time between two questions until then.
	unreadPause = 60 * time.Millisecond
)

// The questions that gateways ask each other.
const (
	askSettings presence.QueryKind = 16
	askReplicas presence.QueryKind = 17
)

// The state of an answer's topic is unknown before the first read.
var errUnread = errors.New("not read yet")

// proof is what a reader proves of a topic.
type proof struct {
	// from is the reader that was asked; Standing is what it answered, as of at.
	from presence.Member
	readers.TopicStatus
	at time.Time
	// unread tells that the reader knows no state yet.
	unread bool
	// answered tells that a reader answered, but proved nothing.
	answered bool
}

// source is whose read the proof is, and who told it.
func (p *proof) source() source { return source{p.from.Box, p.Reader} }

// revalidateSettings tells whether a reader proves that the tree is the newest, or
// hands on a newer one.
func (g *Gateway) revalidateSettings(ctx context.Context) bool {
	from := g.provers(askSettings, g.Clock.Now())
	if len(from) == 0 {
		return false
	}
	p, ok := g.askRead(ctx, from, askSettings, g.trust(askSettings))
	if !ok {
		return !g.mayCall(askSettings, p.answered, g.Clock.Now())
	}
	now := g.Clock.Now()
	tree, age := g.Catalog.Current(now)
	switch {
	case tree != nil && p.State == uint64(tree.Version):
		g.settingsFrom.Store(&source{p.from.Box, p.Reader})
		return g.Catalog.Prove(tree.Version, p.at)
	case tree != nil && p.State < uint64(tree.Version):
		// The reader has yet to see what this gateway was told by another one.
		return age < settingsTrust
	}
	records, ok := g.take(ctx, &p, askSettingsPart)
	if !ok {
		return false
	}
	g.handSettings(records, p.at, p.source())
	tree, _ = g.Catalog.Current(now)
	return tree != nil && uint64(tree.Version) >= p.State
}

// revalidateReplicas tells whether a reader proves that the replicas are known, or
// hands on others.
func (g *Gateway) revalidateReplicas(ctx context.Context) bool {
	from := g.provers(askReplicas, g.Clock.Now())
	if len(from) == 0 {
		return false
	}
	trust := g.trust(askReplicas)
	p, ok := g.askRead(ctx, from, askReplicas, trust)
	if !ok {
		return !g.mayCall(askReplicas, p.answered, g.Clock.Now())
	}
	if p.StoreHealthy {
		g.Health.RecordPeerRead(p.at)
	}
	now := g.Clock.Now()
	age, read := g.validity.age(now)
	switch {
	case read && p.State == uint64(g.Fleet.Digest()):
		g.validity.prove(p.at)
		return true
	case read && !p.at.After(now.Add(-age)):
		// What this gateway knows is newer than what the reader does.
		return age < trust
	}
	records, ok := g.take(ctx, &p, askReplicasPart)
	if !ok {
		return false
	}
	g.handReplicas(records, p.at)
	return p.State == uint64(g.Fleet.Digest())
}

// take takes records from a reader that has others: nearly all gateways would else call
// the store at each change, each of them for all records.
func (g *Gateway) take(ctx context.Context, p *proof, kind presence.QueryKind) ([]graniteknot.KeyedRecord, bool) {
	records, err := g.socket.Fetch(ctx, p.from.PeerAddress, kind)
	if err != nil {
		g.Log.Warn("records of a reader", slog.String("reader", string(p.from.Box)), slog.String("error", err.Error()))
		return nil, false
	}
	g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "taken"})
	return records, true
}

// askRead asks readers for the state of a topic until one has read it, as after a start
// of all gateways at once.
func (g *Gateway) askRead(ctx context.Context, from []presence.Member, kind presence.QueryKind, trust time.Duration) (proof, bool) {
	for {
		p, ok := g.askReaders(ctx, from, kind, trust)
		if !p.unread {
			return p, ok
		}
		if g.Clock.Since(g.started) > unreadPatience || ctx.Err() != nil {
			return proof{}, false
		}
		delay.For(ctx, unreadPause)
	}
}

// askReaders asks a reader or two for the state of a topic, and returns it with
// the time from which on it is proved; false when none knows it well enough.
func (g *Gateway) askReaders(ctx context.Context, from []presence.Member, kind presence.QueryKind, trust time.Duration) (proof, bool) {
	answered := false
	first := g.validity.first()
	for i := range min(revalidateTries, len(from)) {
		reader := from[(first+i)%len(from)]
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, reader.PeerAddress, kind)
		if errors.Is(err, errUnread) {
			return proof{from: reader, unread: true}, true
		}
		answered = answered || err == nil
		at := asked.Add(-told.Age)
		if err == nil && g.Clock.Since(at) < trust {
			g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "proved"})
			g.validity.prefer(first + i)
			g.validity.doubt(kind, false, asked)
			return proof{from: reader, TopicStatus: told, at: at}, true
		}
		g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "doubted"})
		if err == nil || ctx.Err() == nil {
			g.Log.Info("reader doubted", slog.String("reader", string(reader.Box)), slog.Int("kind", int(kind)),
				eventlog.Milliseconds("age", g.Clock.Since(at)), slog.String("read_by", string(told.Reader)), slog.Any("error", err))
		}
	}
	return proof{answered: answered}, false
}

// askPeer asks a gateway for the state of a topic.
func (g *Gateway) askPeer(ctx context.Context, to graniteknot.Address, kind presence.QueryKind) (readers.TopicStatus, error) {
	short, cancel := context.WithTimeout(ctx, revalidateTime)
	defer cancel()
	body, err := g.socket.Ask(short, to, kind, nil)
	if err != nil {
		return readers.TopicStatus{}, err
	}
	if len(body) == 0 {
		return readers.TopicStatus{}, errUnread
	}
	return readers.DecodeTopicStatus(body)
}

// answerPeer answers another process's question; a state that is not known yet with
// nothing.
func (g *Gateway) answerPeer(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
	if out, mine, err := g.census.HandleQuery(kind, body); mine {
		return out, err
	}
	now := g.Clock.Now()
	switch kind {
	case askSettingsPart, askReplicasPart:
		return g.shared.part(kind, body)
	case askQuarantinePart:
		return g.quarantineShelf.ServePart(body, g.packQuarantine)
	case askSettings:
		tree, age := g.Catalog.Current(now)
		if tree == nil {
			return nil, nil
		}
		return g.standing(uint64(tree.Version), age, g.settingsFrom.Load().reader), nil
	case askReplicas:
		// The age is taken first: a change in between makes the state newer.
		age, ok := g.validity.age(now)
		if !ok {
			return nil, nil
		}
		return g.standing(uint64(g.Fleet.Digest()), age, ""), nil
	}
	return nil, readers.ErrMalformed
}

// standing is this gateway's answer on a topic.
func (g *Gateway) standing(state uint64, age time.Duration, reader graniteknot.BoxName) []byte {
	s := readers.TopicStatus{State: state, Age: age, StoreHealthy: !g.Health.RecentOutage(g.Clock.Now(), doubtTime), Reader: reader}
	return s.Encode()
}
