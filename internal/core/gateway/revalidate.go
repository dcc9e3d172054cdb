package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"log/slog"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
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
	askSettings presence.Kind = 16
	askReplicas presence.Kind = 17
)

// The state of an answer's topic is unknown before the first read.
var errUnread = errors.New("not read yet")

// proof is what a reader proves of a topic.
type proof struct {
	reader presence.Member
	// state is that of the topic as of at.
	state uint64
	at    time.Time
	// unread tells that the reader knows no state yet.
	unread bool
	// answered tells that a reader answered, but proved nothing.
	answered bool
	// sound tells that the reader has had no trouble with the store of late.
	sound bool
}

// revalidateSettings tells whether a reader proves that the tree is the newest, or
// hands on a newer one.
func (g *Gateway) revalidateSettings(ctx context.Context) bool {
	readers := g.provers(askSettings, g.Clock.Now())
	if len(readers) == 0 {
		return false
	}
	p, ok := g.askRead(ctx, readers, askSettings, g.trust(askSettings))
	if !ok {
		return !g.mayCall(askSettings, p.answered, g.Clock.Now())
	}
	now := g.Clock.Now()
	tree, age := g.Trees.Current(now)
	switch {
	case tree != nil && p.state == uint64(tree.Version):
		return g.Trees.Prove(tree.Version, p.at)
	case tree != nil && p.state < uint64(tree.Version):
		// The reader has yet to see what this gateway was told by another one.
		return age < settingsTrust
	}
	records, ok := g.take(ctx, &p, askSettingsPart)
	if !ok {
		return false
	}
	g.handSettings(records, p.at)
	tree, _ = g.Trees.Current(now)
	return tree != nil && uint64(tree.Version) >= p.state
}

// revalidateReplicas tells whether a reader proves that the replicas are known, or
// hands on others.
func (g *Gateway) revalidateReplicas(ctx context.Context) bool {
	readers := g.provers(askReplicas, g.Clock.Now())
	if len(readers) == 0 {
		return false
	}
	trust := g.trust(askReplicas)
	p, ok := g.askRead(ctx, readers, askReplicas, trust)
	if !ok {
		return !g.mayCall(askReplicas, p.answered, g.Clock.Now())
	}
	if p.sound {
		g.Health.Elsewhere(p.at)
	}
	now := g.Clock.Now()
	age, read := g.validity.age(now)
	switch {
	case read && p.state == uint64(g.Fleet.Digest()):
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
	return p.state == uint64(g.Fleet.Digest())
}

// take takes records from a reader that has others: nearly all gateways would else call
// the store at each change, each of them for all records.
func (g *Gateway) take(ctx context.Context, p *proof, kind presence.Kind) ([]graniteknot.KeyedRecord, bool) {
	records, err := g.socket.Fetch(ctx, p.reader.Peers, kind)
	if err != nil {
		g.Log.Warn("records of a reader", slog.String("reader", string(p.reader.Box)), slog.String("error", err.Error()))
		return nil, false
	}
	g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "taken"})
	return records, true
}

// askRead asks readers for the state of a topic until one has read it, as after a start
// of all gateways at once.
func (g *Gateway) askRead(ctx context.Context, readers []presence.Member, kind presence.Kind, trust time.Duration) (proof, bool) {
	for {
		p, ok := g.askReaders(ctx, readers, kind, trust)
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
func (g *Gateway) askReaders(ctx context.Context, readers []presence.Member, kind presence.Kind, trust time.Duration) (proof, bool) {
	answered := false
	first := g.validity.first()
	for i := range min(revalidateTries, len(readers)) {
		reader := readers[(first+i)%len(readers)]
		asked := g.Clock.Now()
		state, age, sound, err := g.askPeer(ctx, reader.Peers, kind)
		if errors.Is(err, errUnread) {
			return proof{reader: reader, unread: true}, true
		}
		answered = answered || err == nil
		at := asked.Add(-age)
		if err == nil && g.Clock.Since(at) < trust {
			g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "proved"})
			g.validity.prefer(first + i)
			g.validity.doubt(kind, false, asked)
			return proof{reader: reader, state: state, at: at, sound: sound}, true
		}
		g.Meter.Count("graniteknot_revalidations_total", meter.Label{Name: "result", Value: "doubted"})
		if err == nil || ctx.Err() == nil {
			g.Log.Info("reader doubted", slog.String("reader", string(reader.Box)), slog.Int("kind", int(kind)),
				eventlog.Milliseconds("age", g.Clock.Since(at)), slog.Any("error", err))
		}
	}
	return proof{answered: answered}, false
}

// askPeer asks a gateway for the state of a topic and its age, and whether it has had no trouble
// with the store of late.
func (g *Gateway) askPeer(ctx context.Context, to graniteknot.Address, kind presence.Kind) (state uint64, age time.Duration, sound bool, err error) {
	short, cancel := context.WithTimeout(ctx, revalidateTime)
	defer cancel()
	body, err := g.socket.Ask(short, to, kind, nil)
	if err != nil {
		return 0, 0, false, err
	}
	if len(body) == 0 {
		return 0, 0, false, errUnread
	}
	return stateOf(body)
}

var errMalformed = errors.New("malformed answer")

// stateOf reads an answer: a state, its age in microseconds, and whether the one who tells it is
// sound. Gateways of earlier builds do not say, and count as not sound.
func stateOf(body []byte) (state uint64, age time.Duration, sound bool, err error) {
	state, n := binary.Uvarint(body)
	if n <= 0 {
		return 0, 0, false, errMalformed
	}
	micros, m := binary.Uvarint(body[n:])
	if m <= 0 || micros > uint64(time.Hour/time.Microsecond) {
		return 0, 0, false, errMalformed
	}
	rest := body[n+m:]
	return state, time.Duration(micros) * time.Microsecond, len(rest) > 0 && rest[0] == soundMark, nil
}

// soundMark ends the answer of a gateway that has had no trouble with the store of late.
const soundMark = 1

// answerPeer answers another process's question; a state that is not known yet with
// nothing.
func (g *Gateway) answerPeer(_ context.Context, kind presence.Kind, body []byte) ([]byte, error) {
	if out, mine, err := g.census.Answer(kind, body); mine {
		return out, err
	}
	now := g.Clock.Now()
	switch kind {
	case askSettingsPart, askReplicasPart:
		return g.answerPart(kind, body)
	case askQuarantinePart:
		return g.answerQuarantine(body)
	case askSettings:
		tree, age := g.Trees.Current(now)
		if tree == nil {
			return nil, nil
		}
		return g.stateWith(uint64(tree.Version), age), nil
	case askReplicas:
		// The age is taken first: a change in between makes the state newer.
		age, ok := g.validity.age(now)
		if !ok {
			return nil, nil
		}
		return g.stateWith(uint64(g.Fleet.Digest()), age), nil
	}
	return nil, errMalformed
}

// stateWith is the inverse of stateOf; an age is rounded up.
func (g *Gateway) stateWith(state uint64, age time.Duration) []byte {
	out := binary.AppendUvarint(nil, state)
	out = binary.AppendUvarint(out, uint64(age/time.Microsecond)+1)
	if !g.Health.Doubtful(g.Clock.Now(), doubtTime) {
		out = append(out, soundMark)
	}
	return out
}
