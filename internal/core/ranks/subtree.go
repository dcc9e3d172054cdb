package ranks

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// relaySilenceLimit is how old a look through another sidecar may be before the
// keeper looks itself.
const relaySilenceLimit = 250 * time.Millisecond

// subtree is some ranks of a large group that the keeper reaches through the sidecar
// of the first.
type subtree struct {
	members []*Member

	mu sync.Mutex
	// inFlight are the looks inFlight way.
	inFlight inFlightCalls
}

// newSubtrees divides the members of a large group; nil for a small one, or where
// the sidecars can't reach each other.
func newSubtrees(members []*Member, own graniteknot.Rank) []*subtree {
	if len(members) < minRelayedGroup || !allAddressed(members) {
		return nil
	}
	var out []*subtree
	for i, some := range splitGroup(members, own) {
		for _, m := range some {
			m.subtreeIndex = i
		}
		out = append(out, &subtree{members: some})
	}
	return out
}

// beginLook notes a look that is to beginLook now; false when enough are under way. A
// datagram that was lost holds up no later look for long.
func (p *subtree) beginLook(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight.begin(now)
}

func (p *subtree) endLook() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight.count--
}

// look begins to read the part's ranks, unless that is under way, and calls done
// when it has ended.
func (p *subtree) look(r *wire.LookRequest, now time.Time, done func()) {
	if !p.beginLook(now) {
		return
	}
	reached := responsive(p.members, now)
	if len(reached) == 0 {
		p.endLook()
		done()
		return
	}
	first := reached[0]
	first.calls.Go(func(ctx context.Context) {
		defer done()
		defer p.endLook()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := first.client.LookAll(ctx, &wire.LookAllRequest{Look: r, Sidecars: relayedSidecars(reached)})
		if err != nil {
			// The members' last looks grow old, and the keeper looks itself.
			return
		}
		for _, one := range reply.GetAlike() {
			for _, place := range one.GetPlaces() {
				if place >= 0 && int(place) < len(reached) {
					reached[place].recordReply(one.GetLook(), now)
				}
			}
		}
	})
}

// responsive returns the members whose sidecars answer.
func responsive(members []*Member, now time.Time) []*Member {
	var out []*Member
	for _, m := range members {
		if !m.needsDirectCall(now) {
			out = append(out, m)
		}
	}
	return out
}

// needsDirectCall tells whether the sidecar was not heard through another one for too
// long, and has to be reached directly.
func (m *Member) needsDirectCall(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heardAt.IsZero() {
		m.heardAt = now
	}
	return now.Sub(m.heardAt) > relaySilenceLimit
}

// sendThroughRelay begins to give one command to some members through the first of them,
// and calls done for each when that has ended. Those that the first did not reach
// are given it directly.
func sendThroughRelay(members []*Member, c *held.Command, now time.Time, done func()) {
	key := callKey{order: c.Order}
	key.order.Rank = 0
	var begun []*Member
	for _, m := range members {
		if m.beginCall(key, now) {
			begun = append(begun, m)
		}
	}
	if len(begun) == 0 {
		return
	}
	first := begun[0]
	first.calls.Go(func(ctx context.Context) {
		results := first.relayOrder(ctx, begun, c)
		for i, m := range begun {
			if results != nil && results[i] != held.ResultLost {
				m.recordResult(results[i], c)
				m.endCall(key)
				done()
				continue
			}
			m.endCall(key)
			m.sendOrder(c, now, done)
		}
	})
}

// relayOrder gives a command to several members through this one; nil when it
// did not answer.
func (m *Member) relayOrder(ctx context.Context, members []*Member, c *held.Command) []held.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := giveRequest(c)
	reply, err := m.client.GiveAll(ctx, &wire.GiveAllRequest{Give: request, Sidecars: relayedSidecars(members)})
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
