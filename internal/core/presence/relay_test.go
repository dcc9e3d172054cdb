package presence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

const (
	// tick is how often the processes of these tests do something.
	tick = 200 * time.Millisecond
	// largestPacket is what a bundle has to fit into.
	largestPacket = 1400
)

// process is a gateway or a sidecar without a socket.
type process struct {
	presence.Member

	view     presence.View
	bundler  presence.Bundler
	relaying bool
	relayed  time.Time
	dead     bool
	// took counts datagrams and bytes taken in; reported is when each replica's last
	// report was made.
	datagrams, bytes int
	reported         map[graniteknot.Address]time.Time
}

// deployment is some processes that reach each other at once, with lost datagrams.
type deployment struct {
	t        *testing.T
	now      time.Time
	all      map[graniteknot.Address]*process
	gateways []*process
	sidecars []*process
	random   *rand.Rand
	// lost is the part of datagrams that are lost.
	lost float64
}

func newDeployment(t *testing.T, gateways, sidecars int) *deployment {
	t.Helper()
	d := &deployment{t: t, now: time.Now(), all: map[graniteknot.Address]*process{}, random: rand.New(rand.NewPCG(1, 1))}
	zones := []graniteknot.AvailabilityZone{"a", "b", "c", "d", "e"}
	add := func(role presence.Role, i int) *process {
		p := &process{reported: map[graniteknot.Address]time.Time{}, Member: presence.Member{
			Box: graniteknot.BoxName(fmt.Sprintf("%s-%d", role, i)), Role: role, Zone: zones[i%len(zones)], Incarnation: graniteknot.Incarnation(i + 1),
			PeerAddress: graniteknot.Address(fmt.Sprintf("10.0.%d.%d:7000", len(d.all)/200, len(d.all)%200+1)),
		}}
		if role == presence.RoleSidecar {
			p.Target = graniteknot.Address(fmt.Sprintf("10.1.%d.%d:80", i/200, i%200+1))
		}
		d.all[p.PeerAddress] = p
		return p
	}
	for i := range gateways {
		d.gateways = append(d.gateways, add(presence.RoleGateway, i))
	}
	for i := range sidecars {
		d.sidecars = append(d.sidecars, add(presence.RoleSidecar, i))
	}
	for _, p := range d.all {
		for _, other := range d.all {
			if other != p {
				p.view.Put(other.Member, d.now)
			}
		}
	}
	return d
}

// send carries a message to some processes.
func (d *deployment) send(from *process, m *presence.Message, to []graniteknot.Address) {
	m.Box, m.Incarnation = from.Box, from.Incarnation
	text, err := cbor.Marshal(m)
	if err != nil {
		d.t.Fatal(err)
	}
	if len(text) > largestPacket {
		d.t.Errorf("a datagram of %d bytes", len(text))
	}
	for _, a := range to {
		p := d.all[a]
		if p == nil || p.dead || d.random.Float64() < d.lost {
			continue
		}
		p.datagrams++
		p.bytes += len(text)
		got := &presence.Message{}
		if err := cbor.Unmarshal(text, got); err != nil {
			d.t.Fatal(err)
		}
		d.take(p, got)
	}
}

func (d *deployment) take(p *process, m *presence.Message) {
	if m.Bundle != nil {
		p.view.ApplyBundle(m, d.now)
		for i := range m.Bundle.Reports {
			r := &m.Bundle.Reports[i]
			p.reported[m.Bundle.LoadReport(r).Target] = d.now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
		}
		return
	}
	p.view.ApplyMessage(m, d.now)
	p.bundler.Add(m, d.now)
	if m.Load != nil {
		p.reported[m.Load.Target] = d.now
	}
}

// run lets time go on.
func (d *deployment) run(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(tick)
		for _, p := range d.gateways {
			d.gateway(p)
		}
		for _, p := range d.sidecars {
			if !p.dead {
				load := &presence.LoadReport{Target: p.Target, Running: 4, Waiting: 1, PassMicros: 80_000, Pace: 1, GroupOpen: true, Skew: 1.3, ForecastSequence: 7}
				d.send(p, &presence.Message{Load: load}, p.view.DirectGateways(p.Box, d.now))
			}
		}
	}
}

func (d *deployment) gateway(p *process) {
	if p.dead {
		return
	}
	if bundles := p.bundler.Flush(d.now); p.relaying {
		for i := range bundles {
			d.send(p, &presence.Message{Ready: true, Relay: true, Bundle: &bundles[i]}, p.view.ZoneGateways(p.Member))
		}
	}
	p.relaying = p.view.UpdateRelaying(p.Member, true, d.now)
	to := p.view.DirectGateways(p.Box, d.now)
	if p.relaying && d.now.Sub(p.relayed) >= presence.RelayAnnounceInterval {
		p.relayed, to = d.now, nil
		for a := range d.all {
			if a != p.PeerAddress {
				to = append(to, a)
			}
		}
	}
	self := p.Member
	d.send(p, &presence.Message{Ready: true, Relay: p.relaying, Self: &self, ConfigVersion: 5}, to)
}

// check tells what every living gateway knows: how many others live, and how old the
// oldest report is.
func (d *deployment) check(what string, alive, reports int, oldest time.Duration) {
	d.t.Helper()
	for _, p := range d.gateways {
		if p.dead {
			continue
		}
		if n := len(p.view.ReadyMembers(presence.RoleGateway, p.Box, d.now)); n != alive {
			d.t.Errorf("%s: %s knows of %d that live, of %d", what, p.Box, n, alive)
		}
		fresh := 0
		for _, at := range p.reported {
			if d.now.Sub(at) <= oldest {
				fresh++
			}
		}
		if fresh < reports {
			d.t.Errorf("%s: %s has %d reports that are no older than %v, of %d", what, p.Box, fresh, oldest, reports)
		}
	}
}

// TestRelays tells 149 gateways what 129 sidecars have to say through two of each
// zone, and measures what each takes in.
func TestRelays(t *testing.T) {
	d := newDeployment(t, 149, 129)
	d.run(4 * time.Second)
	d.lost = 0.01
	d.run(2 * time.Second)
	relays := map[graniteknot.AvailabilityZone]int{}
	for _, p := range d.gateways {
		if p.relaying {
			relays[p.Zone]++
		}
		p.bytes, p.datagrams = 0, 0
	}
	for zone, n := range relays {
		if n != 2 || len(relays) != 5 {
			t.Errorf("%d relays in zone %s, of %d zones", n, zone, len(relays))
		}
	}
	const seconds = 4
	d.run(seconds * time.Second)
	d.check("calm", 148, 129, time.Second)
	for _, p := range d.gateways {
		// Told directly, each takes in 55 KB a second in 700 datagrams, without their heads.
		if !p.relaying && (p.bytes > seconds*40_000 || p.datagrams > seconds*100) {
			t.Errorf("%s takes in %d bytes in %d datagrams a second", p.Box, p.bytes/seconds, p.datagrams/seconds)
		}
	}
}

// TestRelaysEnd ends one relay of a zone, which costs nothing, and then both of
// another zone at once: for a while its gateways keep to what they know, and then
// others relay.
func TestRelaysEnd(t *testing.T) {
	d := newDeployment(t, 40, 30)
	d.run(4 * time.Second)
	end := func(zone graniteknot.AvailabilityZone, most int) {
		for _, p := range d.gateways {
			if p.relaying && p.Zone == zone && most > 0 {
				p.dead = true
				most--
			}
		}
	}
	end("a", 1)
	// The other relay of the zone goes on: no gateway lacks a report.
	for range 4 {
		d.run(500 * time.Millisecond)
		for _, p := range d.gateways {
			for target, at := range p.reported {
				if !p.dead && d.now.Sub(at) > 700*time.Millisecond {
					t.Errorf("%s has a report of %s that is %v old", p.Box, target, d.now.Sub(at))
				}
			}
		}
	}
	d.run(2 * time.Second)
	d.check("after one relay's end", 38, 30, time.Second)
	end("b", 2)
	for range 8 {
		d.run(500 * time.Millisecond)
		for _, p := range d.gateways {
			if n := len(p.view.ReadyMembers(presence.RoleGateway, p.Box, d.now)); !p.dead && n < 36 {
				t.Errorf("%s knows of %d that live", p.Box, n)
			}
		}
	}
	d.run(2 * time.Second)
	d.check("after both relays' end", 36, 30, time.Second)
}

// TestSmallDeploymentsHaveNoRelays tells each of a dozen gateways directly.
func TestSmallDeploymentsHaveNoRelays(t *testing.T) {
	d := newDeployment(t, 12, 12)
	d.run(3 * time.Second)
	d.check("calm", 11, 12, 500*time.Millisecond)
	for _, p := range d.gateways {
		if p.relaying {
			t.Errorf("%s relays", p.Box)
		}
	}
}
