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
	// querySettingsPart and askReplicasPart ask for a part of the records.
	querySettingsPart presence.Kind = 18
	queryReplicasPart presence.Kind = 19
)

// recordCache holds the records as the store gave them, for other gateways. The zero
// value holds none.
type recordCache struct {
	mu       sync.Mutex
	settings []graniteknot.KeyedRecord
	replicas map[string]graniteknot.KeyedRecord
	// packed are the packs that were last begun to be sent, by kind.
	packed map[presence.Kind]packedRecords
	// revisions count the changes of the records, by kind.
	revisions map[presence.Kind]uint64
	// settingsPacks and replicasPacks have the packs that others are taking.
	settingsPacks, replicasPacks presence.Shelf
}

// packedRecords are packed records of an edition.
type packedRecords struct {
	presence.Packed

	revision uint64
}

func (s *recordCache) putSettings(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = []graniteknot.KeyedRecord{r}
	s.bumpRevision(querySettingsPart)
}

func (s *recordCache) putReplica(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = map[string]graniteknot.KeyedRecord{}
	}
	s.replicas[r.Key] = r
	s.bumpRevision(queryReplicasPart)
}

func (s *recordCache) dropReplica(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, key)
	s.bumpRevision(queryReplicasPart)
}

// bumpRevision counts a change of a kind of records; called with the lock held.
func (s *recordCache) bumpRevision(kind presence.Kind) {
	if s.revisions == nil {
		s.revisions = map[presence.Kind]uint64{}
	}
	s.revisions[kind]++
}

// pack returns the records of a kind.
func (s *recordCache) pack(kind presence.Kind) (presence.Packed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.packed[kind]; ok && known.revision == s.revisions[kind] {
		return known.Packed, nil
	}
	list := s.settings
	if kind == queryReplicasPart {
		list = slices.SortedFunc(maps.Values(s.replicas), func(a, b graniteknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	}
	out, err := presence.Pack(list)
	if err != nil {
		return nil, err
	}
	if s.packed == nil {
		s.packed = map[presence.Kind]packedRecords{}
	}
	s.packed[kind] = packedRecords{out, s.revisions[kind]}
	return out, nil
}

// part answers another gateway's question for a part.
func (s *recordCache) part(kind presence.Kind, body []byte) ([]byte, error) {
	shelf := &s.settingsPacks
	if kind == queryReplicasPart {
		shelf = &s.replicasPacks
	}
	return shelf.Part(body, func() (presence.Packed, error) { return s.pack(kind) })
}

// fetchSettingsFromPeer takes a newer configuration from a gateway that has one, where
// the store does not answer; false when none has.
func (g *Gateway) fetchSettingsFromPeer(ctx context.Context) bool {
	known := uint64(0)
	if tree, _ := g.Catalog.Current(g.Clock.Now()); tree != nil {
		known = uint64(tree.Version)
	}
	newer := func(state uint64) bool { return state > known }
	return g.fetchFromPeers(ctx, querySettings, querySettingsPart, newer, g.applyPeerSettings)
}

// fetchReplicasFromPeer takes the replicas' records from a gateway that knows others.
func (g *Gateway) fetchReplicasFromPeer(ctx context.Context) bool {
	other := func(state uint64) bool { return state != uint64(g.Fleet.Digest()) }
	return g.fetchFromPeers(ctx, queryReplicas, queryReplicasPart, other, func(records []graniteknot.KeyedRecord, at time.Time, _ recordSource) {
		g.applyPeerReplicas(records, at)
	})
}

// fetchFromPeers asks gateways in turn for what they know, and takes the records of the
// first whose state is wanted.
func (g *Gateway) fetchFromPeers(ctx context.Context, stateKind, partKind presence.Kind, wanted func(uint64) bool, take func([]graniteknot.KeyedRecord, time.Time, recordSource)) bool {
	peers := g.Members.Living(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	first := rand.IntN(max(1, len(peers)))
	for i := range min(revalidateTries, len(peers)) {
		peer := peers[(first+i)%len(peers)]
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, peer.Peers, stateKind)
		if err != nil || !wanted(told.State) {
			continue
		}
		records, err := g.socket.Fetch(ctx, peer.Peers, partKind)
		if err != nil {
			g.Log.Warn("records of a peer", slog.String("peer", string(peer.Box)), slog.String("error", err.Error()))
			continue
		}
		g.Log.Info("records of a peer", slog.String("peer", string(peer.Box)), slog.Int("records", len(records)), eventlog.Milliseconds("age", told.Age))
		take(records, asked.Add(-told.Age), recordSource{peer.Box, told.Reader})
		return true
	}
	return false
}
