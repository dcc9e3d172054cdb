package gateway_test

import (
	"cmp"
	"encoding/json"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/standin/keyed"
)

// TestLateSidecarIsKnown registers a sidecar once 15 gateways have read who is there: the
// one that reads the store tells the others, the relays included, none of which reads.
// Sidecars learn from relays; one that they do not know is no rank to a keeper.
func TestLateSidecarIsKnown(t *testing.T) {
	const fleet = presence.MaxDirectGateways + 3
	var ips []string
	for range fleet {
		ips = append(ips, loopback())
	}
	// The first by this order reads; the last two have the widest links, and relay.
	slices.SortFunc(ips, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	store := &keyed.Store{}
	d := &deployment{store: store, keys: []string{"k1"}}
	d.put()
	var boxes []*box
	for i, ip := range ips {
		boxes = append(boxes, start(t, store, func(c *directconf.Config) {
			c.Box, c.Readers = graniteknot.BoxName(ip), 2
			c.Requests, c.Readiness = graniteknot.Address(ip+":18001"), graniteknot.Address(ip+":18002")
			c.Directory, c.Peers = graniteknot.Address(ip+":18003"), graniteknot.Address(ip+":18004")
			if i >= fleet-2 {
				c.Link = 1e6
			}
		}))
	}
	defer func() {
		for _, b := range boxes {
			b.stop()
		}
	}()
	for _, b := range boxes {
		eventually(t, "all gateways are known", func() bool { return len(b.Members.Members(presence.RoleGateway, b.Config.Box)) == fleet-1 })
	}
	eventually(t, "the others are proved what they know", func() bool {
		n := 0
		for _, b := range boxes {
			if b.proofs() > 4 {
				n++
			}
		}
		return n == fleet-1
	})
	late := presence.Member{Box: "side-1", Role: presence.RoleSidecar, Zone: "z", PeerAddress: "127.0.0.1:9", Target: "127.0.0.1:10", Incarnation: 7}
	value, err := json.Marshal(late)
	if err != nil {
		t.Fatal(err)
	}
	store.Put(graniteknot.TopicMembers, string(late.Box), value)
	for _, b := range boxes {
		eventually(t, "the sidecar is known to "+string(b.Config.Box), func() bool { return len(b.Members.Members(presence.RoleSidecar, "")) == 1 })
	}
}
