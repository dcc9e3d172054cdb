package gateway_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/standin/keyed"
)

// TestStartsByItsPeers starts a gateway anew while the store does not answer it: it
// serves under the configuration and with the replicas that another one knows.
func TestStartsByItsPeers(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	ran := newReplica(t, "i-1")
	d.replica(ran, false)
	d.put()
	other := start(t, store, nil)
	defer other.stop()
	first := start(t, store, nil)
	eventually(t, "both are known", func() bool { return len(other.listed()) == 2 })
	settings := *first.Config
	first.stop()
	way := &cutStore{KeyedStore: store}
	way.cut.Store(true)
	again := start(t, way, func(c *directconf.Config) { *c = settings })
	defer again.stop()
	eventually(t, "served", func() bool { return again.ask("/repeat/x", "k1").status == http.StatusOK })
	if len(ran.Ran()) == 0 {
		t.Error("no replica ran it")
	}
	if got := again.ask("/repeat/x", "k2").status; got != http.StatusUnauthorized {
		t.Errorf("an unknown key: %d", got)
	}
}

// liar is a process that answers as a gateway with a newer configuration would.
type liar struct {
	asked atomic.Int32
	part  func(offset uint64) any
}

func (l *liar) answer(_ context.Context, kind presence.QueryKind, body []byte) ([]byte, error) {
	if kind == 16 {
		return binary.AppendUvarint(binary.AppendUvarint(nil, 1000), 1), nil
	}
	l.asked.Add(1)
	offset, _ := binary.Uvarint(body)
	return cbor.Marshal(l.part(offset))
}

// TestSpoiledRecordsAreNotBelieved has a peer send records that are altered, cut off,
// endless, or no records at all. The gateway goes on refusing.
func TestSpoiledRecordsAreNotBelieved(t *testing.T) {
	type answer struct {
		Digest uint64 `cbor:"1,keyasint"`
		Total  int    `cbor:"2,keyasint"`
		Bytes  []byte `cbor:"3,keyasint"`
	}
	noise := []byte("these are no records")
	for name, part := range map[string]func(uint64) any{
		"altered":    func(uint64) any { return answer{xxhash.Sum64(noise) + 1, len(noise), noise} },
		"cut off":    func(uint64) any { return answer{xxhash.Sum64(noise), 2 * len(noise), nil} },
		"endless":    func(uint64) any { return answer{1, 1 << 40, noise} },
		"no records": func(uint64) any { return answer{xxhash.Sum64(noise), len(noise), noise} },
		"no part":    func(uint64) any { return "part" },
		"changing":   func(offset uint64) any { return answer{offset, 1 << 16, noise} },
	} {
		t.Run(name, func(t *testing.T) {
			ip := loopback()
			peers := graniteknot.Address(ip + ":18004")
			lie := &liar{part: part}
			socket, err := presence.Listen(t.Context(), peers, graniteknot.BoxName(ip), 1, (*eventlog.Log)(nil), func(*presence.Message) {})
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			socket.HandleQueries(lie.answer)
			self := presence.Member{Box: graniteknot.BoxName(ip), Role: presence.RoleGateway, Zone: "z", PeerAddress: peers, Incarnation: 1}
			record, err := json.Marshal(self)
			if err != nil {
				t.Fatal(err)
			}
			store := &keyed.Store{}
			store.Put(graniteknot.TopicMembers, ip, record)
			d := &deployment{store: store, keys: []string{"k1"}}
			d.put()
			b := start(t, &settingsCut{store}, nil)
			defer b.stop()
			const asked = 3
			eventually(t, "the peer is asked", func() bool {
				socket.Send(presence.Message{Ready: true, Self: &self}, []graniteknot.Address{b.Config.Peers})
				return lie.asked.Load() >= asked
			})
			if got := b.ask("/repeat/x", "k1").status; got != http.StatusServiceUnavailable {
				t.Errorf("got %d under a configuration that can't be read", got)
			}
		})
	}
}

// settingsCut is a store that does not tell the settings.
type settingsCut struct{ graniteknot.KeyedStore }

// Newest implements graniteknot.KeyedStore.
func (s *settingsCut) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	if t == graniteknot.TopicSettings {
		return graniteknot.KeyedPage{}, graniteknot.ErrNotDone
	}
	return s.KeyedStore.Newest(ctx, t)
}

// TestTurnedAwayGatewayLearnsOfEnds has the store turn one of two gateways away. A
// replica leaves, whose record goes; the other gateway says so, and the one that is
// turned away sends nothing there any more, long before the store answers it again.
func TestTurnedAwayGatewayLearnsOfEnds(t *testing.T) {
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	leaves, stays := newReplica(t, "i-1"), newReplica(t, "i-2")
	d.replica(leaves, false)
	d.replica(stays, false)
	d.put()
	other := start(t, store, nil)
	defer other.stop()
	way := &cutStore{KeyedStore: store}
	away := start(t, way, nil)
	defer away.stop()
	eventually(t, "both are known", func() bool { return len(other.listed()) == 2 && len(away.listed()) == 2 })
	eventually(t, "both replicas are used", func() bool {
		away.ask("/repeat/x", "k1")
		return len(leaves.Ran()) > 0 && len(stays.Ran()) > 0
	})
	way.cut.Store(true)
	time.Sleep(3 * time.Second)
	store.Put(graniteknot.TopicReplicas, leaves.ID, nil)
	time.Sleep(away.Config.Drain)
	before := len(leaves.Ran())
	for range 40 {
		if got := away.ask("/repeat/x", "k1").status; got != http.StatusOK {
			t.Fatalf("answered %d", got)
		}
	}
	if got := len(leaves.Ran()) - before; got > 0 {
		t.Errorf("%d of 40 requests went to the replica that has left", got)
	}
}
