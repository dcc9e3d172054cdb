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
	askSettingsPart presence.QueryKind = 18
	askReplicasPart presence.QueryKind = 19
)

// shared holds the records as the store gave them, for other gateways. The zero
// value holds none.
type shared struct {
	mu       sync.Mutex
	settings []graniteknot.KeyedRecord
	replicas map[string]graniteknot.KeyedRecord
	// packed are the packs that were last begun to be sent, by kind.
	packed map[presence.QueryKind]packedRecords
	// editions count the changes of the records, by kind.
	editions map[presence.QueryKind]uint64
	// settingsShelf and replicasShelf have the packs that others are taking.
	settingsShelf, replicasShelf presence.PackCache
}

// packedRecords are packed records of an edition.
type packedRecords struct {
	presence.PackedRecords

	edition uint64
}

func (s *shared) putSettings(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = []graniteknot.KeyedRecord{r}
	s.changed(askSettingsPart)
}

func (s *shared) putReplica(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = map[string]graniteknot.KeyedRecord{}
	}
	s.replicas[r.Key] = r
	s.changed(askReplicasPart)
}

func (s *shared) dropReplica(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, key)
	s.changed(askReplicasPart)
}

// changed counts a change of a kind of records; called with the lock held.
func (s *shared) changed(kind presence.QueryKind) {
	if s.editions == nil {
		s.editions = map[presence.QueryKind]uint64{}
	}
	s.editions[kind]++
}

// pack returns the records of a kind.
func (s *shared) pack(kind presence.QueryKind) (presence.PackedRecords, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.packed[kind]; ok && known.edition == s.editions[kind] {
		return known.PackedRecords, nil
	}
	list := s.settings
	if kind == askReplicasPart {
		list = slices.SortedFunc(maps.Values(s.replicas), func(a, b graniteknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	}
	out, err := presence.PackRecords(list)
	if err != nil {
		return nil, err
	}
	if s.packed == nil {
		s.packed = map[presence.QueryKind]packedRecords{}
	}
	s.packed[kind] = packedRecords{out, s.editions[kind]}
	return out, nil
}

// part answers another gateway's question for a part.
func (s *shared) part(kind presence.QueryKind, body []byte) ([]byte, error) {
	shelf := &s.settingsShelf
	if kind == askReplicasPart {
		shelf = &s.replicasShelf
	}
	return shelf.ServePart(body, func() (presence.PackedRecords, error) { return s.pack(kind) })
}

// settingsElsewhere takes a newer configuration from a gateway that has one, where
// the store does not answer; false when none has.
func (g *Gateway) settingsElsewhere(ctx context.Context) bool {
	known := uint64(0)
	if tree, _ := g.Catalog.Current(g.Clock.Now()); tree != nil {
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
func (g *Gateway) elsewhere(ctx context.Context, stateKind, partKind presence.QueryKind, wanted func(uint64) bool, take func([]graniteknot.KeyedRecord, time.Time, source)) bool {
	peers := g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	first := rand.IntN(max(1, len(peers)))
	for i := range min(revalidateTries, len(peers)) {
		peer := peers[(first+i)%len(peers)]
		asked := g.Clock.Now()
		told, err := g.askPeer(ctx, peer.PeerAddress, stateKind)
		if err != nil || !wanted(told.State) {
			continue
		}
		records, err := g.socket.Fetch(ctx, peer.PeerAddress, partKind)
		if err != nil {
			g.Log.Warn("records of a peer", slog.String("peer", string(peer.Box)), slog.String("error", err.Error()))
			continue
		}
		g.Log.Info("records of a peer", slog.String("peer", string(peer.Box)), slog.Int("records", len(records)), eventlog.Milliseconds("age", told.Age))
		take(records, asked.Add(-told.Age), source{peer.Box, told.Reader})
		return true
	}
	return false
}
