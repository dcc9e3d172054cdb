package gateway_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestAddressesFollowTheCallersZone asks gateways of a deployment with more of them than an answer
// holds.
func TestAddressesFollowTheCallersZone(t *testing.T) {
	notUnderRace(t)
	const gateways, mostAddresses, ownZone = 240, 64, 48
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, gateways, nil)
		defer f.stop()
		time.Sleep(4 * time.Second)
		named := map[string]bool{}
		for zone, prefix := range map[string]string{"z0": "10.1.", "z1": "10.2.", "z2": "10.3."} {
			first, second := f.lookup(f.boxes[3], zone), f.lookup(f.boxes[100], zone)
			if !slices.Equal(first, second) {
				t.Errorf("%s: two gateways name different ones", zone)
			}
			own := 0
			for _, a := range first {
				named[a] = true
				if strings.HasPrefix(a, prefix) {
					own++
				}
			}
			if len(first) != mostAddresses || own != ownZone {
				t.Errorf("%s: %d addresses, %d of the own zone", zone, len(first), own)
			}
		}
		if len(named) < 2*mostAddresses {
			t.Errorf("callers of three zones are told of %d gateways", len(named))
		}
	})
}

// lookup asks a gateway's directory for addresses, as a caller of a zone.
func (f *virtualFleet) lookup(b *virtualBox, zone string) []string {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return f.net.Dial(ctx, b.config.Directory) },
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h.example"+b.Translator.DirectoryPath()+"?name=h.example&zone="+zone, http.NoBody)
	if err != nil {
		f.t.Fatal(err)
	}
	x, err := transport.RoundTrip(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = x.Body.Close() }()
	var list struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(x.Body).Decode(&list); err != nil {
		f.t.Fatal(err)
	}
	return list.Addresses
}
