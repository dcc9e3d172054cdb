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

// A gateway without access to the store fetches the configuration and the replica records from
// another gateway; one that has just started would otherwise refuse all requests during a store
// outage. The records are transferred as the store returned them, in parts that fit into datagrams,
// with a digest of the whole and the age of the read that confirmed them, and are applied as if the
// store had returned them at that time.

const (
	// querySettingsPart and queryReplicasPart request a part of the records.
	querySettingsPart presence.QueryKind = 18
	queryReplicasPart presence.QueryKind = 19
)

// recordCache holds the records as the store returned them, for other gateways. The zero value is
// empty.
type recordCache struct {
	mu       sync.Mutex
	settings []graniteknot.KeyedRecord
	replicas map[string]graniteknot.KeyedRecord
	// packed holds the latest packed records by kind.
	packed map[presence.QueryKind]packedRecords
	// revisions counts the changes of the records by kind.
	revisions map[presence.QueryKind]uint64
	// settingsPacks and replicasPacks hold the packed records that other gateways are fetching.
	settingsPacks, replicasPacks presence.PackCache
}

// packedRecords are the packed records of a revision.
type packedRecords struct {
	presence.PackedRecords

	revision uint64
}

func (c *recordCache) putSettings(r graniteknot.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = []graniteknot.KeyedRecord{r}
	c.bumpRevision(querySettingsPart)
}

func (c *recordCache) putReplica(r graniteknot.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replicas == nil {
		c.replicas = map[string]graniteknot.KeyedRecord{}
	}
	c.replicas[r.Key] = r
	c.bumpRevision(queryReplicasPart)
}

func (c *recordCache) dropReplica(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replicas, key)
	c.bumpRevision(queryReplicasPart)
}

// bumpRevision counts a change of a kind of records. The caller holds the lock.
func (c *recordCache) bumpRevision(kind presence.QueryKind) {
	if c.revisions == nil {
		c.revisions = map[presence.QueryKind]uint64{}
	}
	c.revisions[kind]++
}

// pack returns the packed records of a kind.
func (c *recordCache) pack(kind presence.QueryKind) (presence.PackedRecords, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if latest, ok := c.packed[kind]; ok && latest.revision == c.revisions[kind] {
		return latest.PackedRecords, nil
	}
	list := c.settings
	if kind == queryReplicasPart {
		list = slices.SortedFunc(maps.Values(c.replicas), func(a, b graniteknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	}
	out, err := presence.PackRecords(list)
	if err != nil {
		return nil, err
	}
	if c.packed == nil {
		c.packed = map[presence.QueryKind]packedRecords{}
	}
	c.packed[kind] = packedRecords{out, c.revisions[kind]}
	return out, nil
}

// part answers another gateway's query for a part of the records.
func (c *recordCache) part(kind presence.QueryKind, body []byte) ([]byte, error) {
	packs := &c.settingsPacks
	if kind == queryReplicasPart {
		packs = &c.replicasPacks
	}
	return packs.ServePart(body, func() (presence.PackedRecords, error) { return c.pack(kind) })
}

// fetchSettingsFromPeer fetches a newer configuration from another gateway when the store does not
// answer; it returns false if none has one.
func (g *Gateway) fetchSettingsFromPeer(ctx context.Context) bool {
	own := uint64(0)
	if tree, _ := g.Catalog.Current(g.Clock.Now()); tree != nil {
		own = uint64(tree.Version)
	}
	newer := func(state uint64) bool { return state > own }
	return g.fetchFromPeers(ctx, querySettings, querySettingsPart, newer, g.applyPeerSettings)
}

// fetchReplicasFromPeer fetches the replica records from another gateway whose records differ.
func (g *Gateway) fetchReplicasFromPeer(ctx context.Context) bool {
	differs := func(state uint64) bool { return state != uint64(g.Fleet.Digest()) }
	return g.fetchFromPeers(ctx, queryReplicas, queryReplicasPart, differs, func(records []graniteknot.KeyedRecord, at time.Time, _ recordSource) {
		g.applyPeerReplicas(records, at)
	})
}

// fetchFromPeers queries other gateways in turn for their state, and fetches and applies the
// records of the first one whose state is wanted.
func (g *Gateway) fetchFromPeers(ctx context.Context, stateKind, partKind presence.QueryKind, wanted func(uint64) bool, apply func([]graniteknot.KeyedRecord, time.Time, recordSource)) bool {
	peers := g.Members.AliveMembers(presence.RoleGateway, g.Config.Box, g.Clock.Now())
	first := rand.IntN(max(1, len(peers)))
	for i := range min(revalidateTries, len(peers)) {
		peer := peers[(first+i)%len(peers)]
		asked := g.Clock.Now()
		answer, err := g.askPeer(ctx, peer.PeerAddress, stateKind)
		if err != nil || !wanted(answer.State) {
			continue
		}
		records, err := g.socket.Fetch(ctx, peer.PeerAddress, partKind)
		if err != nil {
			g.Log.Warn("records of a peer", slog.String("peer", string(peer.Box)), slog.String("error", err.Error()))
			continue
		}
		g.Log.Info("records of a peer", slog.String("peer", string(peer.Box)), slog.Int("records", len(records)), eventlog.Milliseconds("age", answer.Age))
		apply(records, asked.Add(-answer.Age), recordSource{peer.Box, answer.Reader})
		return true
	}
	return false
}
