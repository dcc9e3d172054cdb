package gateway

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

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
	// partSize is how many bytes one answer holds of them.
	partSize = 1000
	// mostPacked and mostUnpacked bound what is taken from a peer: some thousand
	// routes packed, and what they unpack to.
	mostPacked   = 512 << 10
	mostUnpacked = 8 << 20
	// partTries is how often a part is asked for, since datagrams may be lost.
	partTries = 3
)

// shared holds the records as the store gave them, for other gateways. The zero
// value holds none.
type shared struct {
	mu       sync.Mutex
	settings []graniteknot.KeyedRecord
	replicas map[string]graniteknot.KeyedRecord
	// packed are the packs that were last begun to be sent, by kind.
	packed map[presence.Kind][]byte
}

func (s *shared) putSettings(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = []graniteknot.KeyedRecord{r}
}

func (s *shared) putReplica(r graniteknot.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = map[string]graniteknot.KeyedRecord{}
	}
	s.replicas[r.Key] = r
}

func (s *shared) dropReplica(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, key)
}

// pack returns the records of a kind. The first part makes it anew, the others are of
// the same, so that a change meanwhile does not mix two.
func (s *shared) pack(kind presence.Kind, anew bool) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !anew && s.packed[kind] != nil {
		return s.packed[kind], nil
	}
	list := s.settings
	if kind == askReplicasPart {
		list = nil
		for _, r := range s.replicas {
			list = append(list, r)
		}
		slices.SortFunc(list, func(a, b graniteknot.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	}
	out, err := packRecords(list)
	if err != nil {
		return nil, err
	}
	if s.packed == nil {
		s.packed = map[presence.Kind][]byte{}
	}
	s.packed[kind] = out
	return out, nil
}

func packRecords(list []graniteknot.KeyedRecord) ([]byte, error) {
	plain, err := cbor.Marshal(list)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpackRecords(packed []byte) ([]graniteknot.KeyedRecord, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostUnpacked))
	if err != nil {
		return nil, err
	}
	var list []graniteknot.KeyedRecord
	return list, cbor.Unmarshal(plain, &list)
}

// part is an answer: the digest and length of the whole, and some bytes of it.
type part struct {
	Digest uint64 `cbor:"1,keyasint"`
	Total  int    `cbor:"2,keyasint"`
	Bytes  []byte `cbor:"3,keyasint"`
}

// answerPart answers another gateway's question for a part.
func (g *Gateway) answerPart(kind presence.Kind, body []byte) ([]byte, error) {
	offset, n := binary.Uvarint(body)
	if n <= 0 {
		return nil, errMalformed
	}
	packed, err := g.shared.pack(kind, offset == 0)
	if err != nil {
		return nil, err
	}
	if offset > uint64(len(packed)) {
		return nil, errMalformed
	}
	end := min(int(offset)+partSize, len(packed))
	return cbor.Marshal(part{Digest: xxhash.Sum64(packed), Total: len(packed), Bytes: packed[offset:end]})
}

// fetch takes all records of a kind from a gateway.
func (g *Gateway) fetch(ctx context.Context, from graniteknot.Address, kind presence.Kind) ([]graniteknot.KeyedRecord, error) {
	var whole []byte
	first, err := g.fetchPart(ctx, from, kind, 0)
	if err != nil {
		return nil, err
	}
	whole = append(whole, first.Bytes...)
	for len(whole) < first.Total {
		next, err := g.fetchPart(ctx, from, kind, len(whole))
		if err != nil {
			return nil, err
		}
		if next.Digest != first.Digest || next.Total != first.Total || len(next.Bytes) == 0 {
			return nil, errMalformed
		}
		whole = append(whole, next.Bytes...)
	}
	if len(whole) != first.Total || xxhash.Sum64(whole) != first.Digest {
		return nil, errMalformed
	}
	return unpackRecords(whole)
}

func (g *Gateway) fetchPart(ctx context.Context, from graniteknot.Address, kind presence.Kind, offset int) (*part, error) {
	var last error
	for range partTries {
		short, cancel := context.WithTimeout(ctx, revalidateTime)
		body, err := g.socket.Ask(short, from, kind, binary.AppendUvarint(nil, uint64(offset)))
		cancel()
		if err != nil {
			last = err
			continue
		}
		out := &part{}
		if err := cbor.Unmarshal(body, out); err != nil {
			return nil, err
		}
		if out.Total > mostPacked || len(out.Bytes) > partSize {
			return nil, errMalformed
		}
		return out, nil
	}
	return nil, last
}

// settingsElsewhere takes a newer configuration from a gateway that has one, where
// the store does not answer; false when none has.
func (g *Gateway) settingsElsewhere(ctx context.Context) bool {
	known := uint64(0)
	if tree, _ := g.Trees.Current(time.Now()); tree != nil {
		known = uint64(tree.Version)
	}
	newer := func(state uint64) bool { return state > known }
	return g.elsewhere(ctx, askSettings, askSettingsPart, newer, g.takeSettings)
}

// replicasElsewhere takes the replicas' records from a gateway that knows others.
func (g *Gateway) replicasElsewhere(ctx context.Context) bool {
	other := func(state uint64) bool { return state != uint64(g.Fleet.Digest()) }
	return g.elsewhere(ctx, askReplicas, askReplicasPart, other, g.takeReplicas)
}

// elsewhere asks gateways in turn for what they know, and takes the records of the
// first whose state is wanted.
func (g *Gateway) elsewhere(ctx context.Context, stateKind, partKind presence.Kind, wanted func(uint64) bool, take func([]graniteknot.KeyedRecord, time.Time)) bool {
	peers := g.Members.Alive(presence.RoleGateway, g.Config.Box, time.Now())
	turn := g.validity.turn()
	for i := range min(revalidateTries, len(peers)) {
		peer := peers[(turn+i)%len(peers)]
		asked := time.Now()
		state, age, err := g.askPeer(ctx, peer.Peers, stateKind)
		if err != nil || !wanted(state) {
			continue
		}
		records, err := g.fetch(ctx, peer.Peers, partKind)
		if err != nil {
			g.Log.Warn("records of a peer", slog.String("peer", string(peer.Box)), slog.String("error", err.Error()))
			continue
		}
		g.Log.Info("records of a peer", slog.String("peer", string(peer.Box)), slog.Int("records", len(records)), eventlog.Milliseconds("age", age))
		take(records, asked.Add(-age))
		return true
	}
	return false
}
