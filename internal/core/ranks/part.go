package ranks

import (
	"context"
	"sync"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

const (
	// relayedGroup is the size from which a keeper reaches its ranks through
	// others: below it, a call to each costs less than the second hop.
	relayedGroup = 24
	// partOf is how many ranks one sidecar reaches for the keeper, about the root
	// of the largest group.
	partOf = 8
	// partPatience is how old a look through another sidecar may be before the
	// keeper looks itself.
	partPatience = 250 * time.Millisecond
)

// part is some ranks of a large group that the keeper reaches through the sidecar
// of the first.
type part struct {
	members []*Member

	mu sync.Mutex
	// looking tells that a look is under way.
	looking bool
}

// partsOf divides the members of a large group; nil for a small one, or where
// the sidecars can't reach each other.
func partsOf(members []*Member) []*part {
	if len(members) < relayedGroup {
		return nil
	}
	var out []*part
	for at := 0; at < len(members); at += partOf {
		out = append(out, &part{members: members[at:min(at+partOf, len(members))]})
	}
	for _, m := range members {
		if m.address == "" {
			return nil
		}
	}
	return out
}

// sidecars are the addresses of all members but the first.
func sidecars(members []*Member) []string {
	out := make([]string, 0, len(members)-1)
	for _, m := range members[1:] {
		out = append(out, string(m.address))
	}
	return out
}

// look begins to read the part's ranks, unless that is under way, and calls done
// when it has ended.
func (p *part) look(r *wire.LookRequest, now time.Time, done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.looking {
		return
	}
	p.looking = true
	reached := heardOf(p.members, now)
	if len(reached) == 0 {
		p.looking = false
		done()
		return
	}
	first := reached[0]
	first.calls.Go(func(ctx context.Context) {
		defer done()
		defer p.looked()
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		reply, err := first.doer.LookAll(ctx, &wire.LookAllRequest{Look: r, Sidecars: sidecars(reached)})
		if err != nil || len(reply.GetReplies()) != len(reached) {
			// The members' last looks grow old, and the keeper looks itself.
			return
		}
		for i, m := range reached {
			if one := reply.GetReplies()[i]; one.GetFenced() != 0 || one.GetSize() > 0 {
				m.take(one, now)
			}
		}
	})
}

// heardOf returns the members whose sidecars answer.
func heardOf(members []*Member, now time.Time) []*Member {
	var out []*Member
	for _, m := range members {
		if !m.overdue(now) {
			out = append(out, m)
		}
	}
	return out
}

func (p *part) looked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.looking = false
}

// overdue tells whether the sidecar was not heard through another one for too
// long, and has to be reached directly.
func (m *Member) overdue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heard.IsZero() {
		m.heard = now
	}
	return now.Sub(m.heard) > partPatience
}

// giveAll begins to give one command to some members through the first of them,
// and calls done for each when that has ended. Those that the first did not reach
// are given it directly.
func giveAll(members []*Member, c *held.Command, now time.Time, done func()) {
	key := call{order: c.Order}
	key.order.Rank = 0
	var begun []*Member
	for _, m := range members {
		if m.begin(key, now) {
			begun = append(begun, m)
		}
	}
	if len(begun) == 0 {
		return
	}
	first := begun[0]
	first.calls.Go(func(ctx context.Context) {
		results := first.giveThrough(ctx, begun, c)
		for i, m := range begun {
			if results != nil && results[i] != held.ResultLost {
				m.note(results[i], c)
				m.end(key)
				done()
				continue
			}
			m.end(key)
			m.give(c, now, done)
		}
	})
}

// giveThrough gives a command to several members through this one; nil when it
// did not answer.
func (m *Member) giveThrough(ctx context.Context, members []*Member, c *held.Command) []held.Result {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	request := requestOf(c)
	reply, err := m.doer.GiveAll(ctx, &wire.GiveAllRequest{Give: request, Sidecars: sidecars(members)})
	if err != nil || len(reply.GetReplies()) != len(members) {
		return nil
	}
	out := make([]held.Result, len(members))
	for i, one := range reply.GetReplies() {
		out[i] = held.Result(one.GetResult())
		if one.GetUnknownBase() {
			out[i] = held.ResultLost
		}
	}
	return out
}
