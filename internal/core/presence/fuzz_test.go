package presence_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/standin/network"
)

// deliver sends bytes to a socket and returns once they were read.
func deliver(t *testing.T, body []byte, take func(*presence.Message)) {
	t.Helper()
	var n network.Network
	conn, err := n.ListenPacket(context.Background(), "10.0.0.3:4")
	if err != nil {
		t.Fatal(err)
	}
	last, got := make(chan struct{}), presence.Message{ConfigVersion: 1}
	taker, err := n.ListenPacket(context.Background(), "10.0.0.4:4")
	if err != nil {
		t.Fatal(err)
	}
	socket := presence.NewSocket(taker, "taker", 1, nil, func(m *presence.Message) {
		if m.Box == "last" {
			close(last)
			return
		}
		take(m)
	})
	defer socket.Close()
	to := netip.MustParseAddrPort("10.0.0.4:4")
	_, _ = conn.WriteToUDPAddrPort(body, to)
	got.Box = "last"
	end, err := cbor.Marshal(&got)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.WriteToUDPAddrPort(end, to)
	<-last
}

// FuzzDatagram has a process read any datagram, take in what it says and pass it on.
func FuzzDatagram(f *testing.F) {
	member := presence.Member{Box: "b", Role: presence.RoleGateway, Zone: "z", PeerAddress: "10.0.0.9:4", Incarnation: 3}
	load := presence.LoadReport{Target: "10.0.0.8:80", Running: 2, GroupOpen: true, Skew: 1.2, ForecastSequence: 4}
	bundle := presence.Bundle{Ready: []uint32{1}, StoreLost: []uint32{1}, ConfigVersion: 4, Joined: []presence.Member{member}}
	for _, m := range []presence.Message{
		{Box: "b", Self: &member, Ready: true, ConfigVersion: 3, StoreLost: true},
		{Box: "s", Load: &load},
		{Box: "b", Relay: true, Bundle: &bundle},
		{Box: "b", Query: &presence.Query{ID: 1, Kind: 16, Body: []byte{1}}},
		{Box: "b", Reply: &presence.Reply{ID: 1, Body: []byte{1}}},
	} {
		b, err := cbor.Marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		const largest = 2048
		if len(body) > largest {
			return
		}
		now := time.Now()
		var view presence.View
		var bundler presence.Bundler
		deliver(t, body, func(m *presence.Message) {
			if m.Bundle != nil {
				view.ApplyBundle(m, now)
				for i := range m.Bundle.Reports {
					m.Bundle.LoadReport(&m.Bundle.Reports[i])
				}
				return
			}
			view.ApplyMessage(m, now)
			bundler.Add(m, now)
			for _, b := range bundler.Flush(now) {
				if out, err := cbor.Marshal(&presence.Message{Bundle: &b}); err != nil || len(out) > largest {
					t.Errorf("a bundle of %d bytes: %v", len(out), err)
				}
			}
		})
		view.DirectGateways("own", now)
		view.Digest(member)
	})
}

// FuzzParts takes records from a process that answers with any bytes.
func FuzzParts(f *testing.F) {
	packed, err := presence.PackRecords([]graniteknot.KeyedRecord{{Key: "k", Value: []byte("v")}})
	if err != nil {
		f.Fatal(err)
	}
	var shelf presence.PackCache
	first, err := shelf.ServePart([]byte{0}, func() (presence.PackedRecords, error) { return packed, nil })
	if err != nil {
		f.Fatal(err)
	}
	f.Add(first, first)
	f.Add([]byte("\xa0"), []byte{})
	f.Fuzz(func(t *testing.T, first, next []byte) {
		var n network.Network
		asker, holder := sockets(t, &n)
		defer asker.Close()
		defer holder.Close()
		holder.HandleQueries(func(_ context.Context, _ presence.QueryKind, body []byte) ([]byte, error) {
			if len(body) == 1 {
				return first, nil
			}
			return next, nil
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, _ = asker.Fetch(ctx, "10.0.0.2:4", partsKind)
	})
}
