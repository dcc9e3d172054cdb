package ranks

import (
	"context"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/wire"
)

// relaySilenceLimit is how old a rank's relayed snapshot may be before the coordinator
// calls it directly.
const relaySilenceLimit = 250 * time.Millisecond

// subtree is a set of ranks in a large group that the coordinator reaches through the
// sidecar of the first.
type subtree struct {
	members []*Member

	mu sync.Mutex
	// inFlight counts the looks in flight.
	inFlight inFlightCalls
}

// newSubtrees splits the members of a large group into relay subtrees; nil for a small
// group, or where sidecars can't reach each other.
func newSubtrees(members []*Member, own graniteknot.Rank) []*subtree {
	if len(members) < minRelayedGroup || !allAddressed(members) {
		return nil
	}
	var out []*subtree
	for i, part := range splitGroup(members, own) {
		for _, m := range part {
			m.subtreeIndex = i
		}
		out = append(out, &subtree{members: part})
	}
	return out
}

// beginLook adds a look in flight; false when there are enough. A lost datagram does not
// delay later looks for long.
func (s *subtree) beginLook(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight.begin(now)
}

func (s *subtree) endLook() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight.count--
}

// look starts to read the subtree's ranks and calls done when that has ended. If enough looks
// are in flight it only calls done, since no answer to this one can be waited for: a round in
// which a load shift was detected otherwise planned 40 ms late, as the former round's looks
// were behind sums of counts on the coordinator's link.
func (s *subtree) look(r *wire.LookRequest, now time.Time, done func()) {
	if !s.beginLook(now) {
		done()
		return
	}
	responding := responsive(s.members, now)
	if len(responding) == 0 {
		s.endLook()
		done()
		return
	}
	relay := responding[0]
	relay.calls.Go(func(ctx context.Context) {
		defer done()
		defer s.endLook()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := relay.client.LookAll(ctx, &wire.LookAllRequest{Look: r, Sidecars: relayedSidecars(responding)})
		if err != nil {
			// The members' snapshots age until the coordinator calls them directly.
			return
		}
		for _, merged := range reply.GetAlike() {
			for _, position := range merged.GetPlaces() {
				if position >= 0 && int(position) < len(responding) {
					responding[position].recordReply(merged.GetLook(), now)
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

// needsDirectCall reports whether the sidecar has been silent for too long to be reached
// through a relay.
func (m *Member) needsDirectCall(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heardAt.IsZero() {
		m.heardAt = now
	}
	return now.Sub(m.heardAt) > relaySilenceLimit
}

// sendThroughRelay starts to send one command to members through the first of them, and
// calls done for each when that has ended. Members that the relay does not reach are called
// directly.
func sendThroughRelay(members []*Member, c *held.Command, now time.Time, done func()) {
	key := callKey{order: c.Order}
	key.order.Rank = 0
	var accepted []*Member
	for _, m := range members {
		if m.beginCall(key, now) {
			accepted = append(accepted, m)
		}
	}
	if len(accepted) == 0 {
		return
	}
	relay := accepted[0]
	relay.calls.Go(func(ctx context.Context) {
		results := relay.relayOrder(ctx, accepted, c)
		for i, m := range accepted {
			if results != nil && results[i] != held.ResultUnknown {
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

// relayOrder sends a command to members through this one; nil when it did not answer.
func (m *Member) relayOrder(ctx context.Context, members []*Member, c *held.Command) []held.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := giveRequest(c)
	reply, err := m.client.GiveAll(ctx, &wire.GiveAllRequest{Give: request, Sidecars: relayedSidecars(members)})
	if err != nil || len(reply.GetReplies()) != len(members) {
		return nil
	}
	out := make([]held.Result, len(members))
	for i, r := range reply.GetReplies() {
		out[i] = held.Result(r.GetResult())
		if r.GetUnknownBase() {
			out[i] = held.ResultUnknown
		}
	}
	return out
}
