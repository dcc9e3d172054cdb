package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/presence"
)

// A gateway that the store does not answer takes the configuration and the replicas'
// records from another gateway: one that has just started would refuse everything
// until the store is back. What it takes is the other's records as the store gave
// them, in parts that fit into datagrams, with a digest of the whole and the age of
// the read that proved them. It reads them as if the store had returned them then.

const (
	// askSettingsPart and askReplicasPart ask for a part of the records.
	askSettingsPart presence.Kind = 18
	askReplicasPart presence.Kind = 19
)

// shared holds the records as the store gave them, for other gateways. The zero
// value holds none.
type shared struct {
	mu       sync.Mutex
	settings []graniteknot.KeyedRecord
	replicas map[string]graniteknot.KeyedRecord
	// packed are the packs that were last begun to be sent, by kind.
	packed map[presence.Kind]packedRecords
	// edition counts the changes of the records.
	edition uint64
}

// packedRecords are packed records of an edition.
type packedRecords struct {
	presence.Packed

	edition uint64
}

func (s *shared) putSettings(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = []graniteknot.KeyedRecord{r}
	s.edition++
}

func (s *shared) putReplica(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = map[string]graniteknot.KeyedRecord{}
	}
	s.replicas[r.Key] = r
	s.edition++
}

func (s *shared) dropReplica(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, key)
	s.edition++
}

// pack returns the records of a kind. The first part has them packed anew if they have
// changed, the others are of the same, so that a change meanwhile does not mix two.
func (s *shared) pack(kind presence.Kind, first bool) (presence.Packed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.packed[kind]; ok && (!first || known.edition == s.edition) {
		return known.Packed, nil
	}
	list := s.settings
	if kind == askReplicasPart {
		list = slices.SortedFunc(maps.Values(s.replicas), func(a, b graniteknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	}
	out, err := presence.Pack(list)
	if err != nil {
		return nil, err
	}
	if s.packed == nil {
		s.packed = map[presence.Kind]packedRecords{}
	}
	s.packed[kind] = packedRecords{out, s.edition}
	return out, nil
}

// answerPart answers another gateway's question for a part.
func (g *Gateway) answerPart(kind presence.Kind, body []byte) ([]byte, error) {
	offset, err := presence.Offset(body)
	if err != nil {
		return nil, err
	}
	packed, err := g.shared.pack(kind, offset == 0)
	if err != nil {
		return nil, err
	}
	return packed.Part(offset)
}

// settingsElsewhere takes a newer configuration from a gateway that has one, where
// the store does not answer; false when none has.
func (g *Gateway) settingsElsewhere(ctx context.Context) bool {
	known := uint64(0)
	if tree, _ := g.Trees.Current(g.Clock.Now()); tree != nil {
		known = uint64(tree.Version)
	}
	newer := func(state uint64) bool { return state > known }
	return g.elsewhere(ctx, askSettings, askSettingsPart, newer, g.handSettings)
}

// replicasElsewhere takes the replicas' records from a gateway that knows others.
func (g *Gateway) replicasElsewhere(ctx context.Context) bool {
	other := func(state uint64) bool { return state != uint64(g.Fleet.Digest()) }
	return g.elsewhere(ctx, askReplicas, askReplicasPart, other, func(records []graniteknot.KeyedRecord, at time.Time, _ source) {
		g.handReplicas(records, at)
	})
}

// elsewhere asks gateways in turn for what they know, and takes the records of the
// first whose state is wanted.
func (g *Gateway) elsewhere(ctx context.Context, stateKind, partKind presence.Kind, wanted func(uint64) bool, take func([]graniteknot.KeyedRecord, time.Time, source)) bool {
	peers := g.Members.Living(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	first := rand.IntN(max(1, len(peers)))
	for i := range min(revalidateTries, len(peers)) {
		peer := peers[(first+i)%len(peers)]
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, peer.Peers, stateKind)
		if err != nil || !wanted(told.state) {
			continue
		}
		records, err := g.socket.Fetch(ctx, peer.Peers, partKind)
		if err != nil {
			g.Log.Warn("records of a peer", slog.String("peer", string(peer.Box)), slog.String("error", err.Error()))
			continue
		}
		g.Log.Info("records of a peer", slog.String("peer", string(peer.Box)), slog.Int("records", len(records)), eventlog.Milliseconds("age", told.age))
		take(records, asked.Add(-told.age), source{peer.Box, told.reader})
		return true
	}
	return false
}
