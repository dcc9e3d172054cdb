package presence

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Bundle is what a relay heard since its last one, for the gateways of its zone.
type Bundle struct {
	// Reports are of replicas, Forecasts what their groups' keepers foretold.
	Reports   []RelayedReport `cbor:"1,keyasint,omitempty"`
	Forecasts []Forecast      `cbor:"2,keyasint,omitempty"`
	// Ready and Unready name gateways that were heard.
	Ready   []uint32 `cbor:"3,keyasint,omitempty"`
	Unready []uint32 `cbor:"4,keyasint,omitempty"`
	// Joined describes gateways that are new.
	Joined []Member `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the newest version of the configuration that any of them has.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
	// StoreLost names those of the gateways heard that the store does not answer.
	StoreLost []uint32 `cbor:"7,keyasint,omitempty"`
}

// RelayedReport is a digest as a relay passes it on.
type RelayedReport struct {
	_       struct{} `cbor:",toarray"`
	Target  netip.AddrPort
	Running int
	Waiting int
	// PassMicros is in microseconds, as Digest's.
	PassMicros int64
	// AgeMillis is how long before the bundle the digest came, in milliseconds.
	AgeMillis int64
	// Pace is in hundredths; 0 is unknown.
	Pace      int
	GroupOpen bool
	// ForecastIndex is the place of the replica's forecast in the bundle, and 1; 0 is none.
	ForecastIndex int
	// LifeMark is Digest's.
	LifeMark catalog.Mark
}

// Forecast is a keeper's forecast as a relay passes it on.
type Forecast struct {
	_        struct{} `cbor:",toarray"`
	Skew     float32
	Loading  bool
	Sequence uint64
}

const (
	// mostReports is how many reports a bundle holds, of at most 30 bytes each, so that
	// it fits into a packet.
	mostReports = 40
	// mostNames and mostJoined bound the rest of a bundle in the same way.
	mostNames  = 150
	mostJoined = 5
	// joinedFor is how long a gateway is new.
	joinedFor = 2 * time.Second
	paceUnit  = 100
)

// Bundler collects what a relay hears. The zero value is empty.
type Bundler struct {
	mu      sync.Mutex
	reports map[graniteknot.Address]heardDigest
	ready   map[graniteknot.BoxName]bool
	lost    map[graniteknot.BoxName]bool
	// joined are gateways that are new, since when.
	joined   map[graniteknot.BoxName]joinedMember
	settings uint64
}

type heardDigest struct {
	digest LoadReport
	at     time.Time
}

type joinedMember struct {
	member Member
	since  time.Time
}

// Add takes in a message from another process.
func (b *Bundler) Add(m *Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Load != nil {
		if b.reports == nil {
			b.reports = map[graniteknot.Address]heardDigest{}
		}
		b.reports[m.Load.Target] = heardDigest{*m.Load, now}
	}
	if m.Self == nil || m.Self.Role != RoleGateway {
		return
	}
	if b.ready == nil {
		b.ready, b.joined = map[graniteknot.BoxName]bool{}, map[graniteknot.BoxName]joinedMember{}
		b.lost = map[graniteknot.BoxName]bool{}
	}
	b.ready[m.Box] = m.Ready
	if m.StoreLost {
		b.lost[m.Box] = true
	} else {
		delete(b.lost, m.Box)
	}
	b.settings = max(b.settings, m.ConfigVersion)
	if known := b.joined[m.Box]; known.member.Incarnation != m.Self.Incarnation {
		b.joined[m.Box] = joinedMember{*m.Self, now}
	}
}

// Flush returns what was heard since the last call.
func (b *Bundler) Flush(now time.Time) []Bundle {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.reported(now)
	var rest Bundle
	rest.ConfigVersion = b.settings
	for box, ready := range b.ready {
		if ready {
			rest.Ready = append(rest.Ready, nameOf(box))
		} else {
			rest.Unready = append(rest.Unready, nameOf(box))
		}
		if b.lost[box] {
			rest.StoreLost = append(rest.StoreLost, nameOf(box))
		}
		if len(rest.Ready)+len(rest.Unready)+len(rest.StoreLost) >= mostNames {
			out, rest = append(out, rest), Bundle{ConfigVersion: b.settings}
		}
	}
	out = append(out, rest)
	for some := range slices.Chunk(b.new(now), mostJoined) {
		out = append(out, Bundle{Joined: some})
	}
	clear(b.reports)
	clear(b.ready)
	return out
}

// reported returns bundles of the replicas' reports; called with the lock held.
func (b *Bundler) reported(now time.Time) []Bundle {
	var out []Bundle
	var one Bundle
	for _, h := range b.reports {
		target, err := netip.ParseAddrPort(string(h.digest.Target))
		if err != nil {
			// Nobody can be sent requests there.
			continue
		}
		one.Reports = append(one.Reports, RelayedReport{
			Target: target, Running: h.digest.Running, Waiting: h.digest.Waiting, PassMicros: h.digest.PassMicros,
			AgeMillis: now.Sub(h.at).Milliseconds(), Pace: int(paceUnit*h.digest.Pace + 0.5), GroupOpen: h.digest.GroupOpen, ForecastIndex: one.forecast(&h.digest),
			LifeMark: h.digest.LifeMark,
		})
		if len(one.Reports) == mostReports {
			out, one = append(out, one), Bundle{}
		}
	}
	if len(one.Reports) > 0 {
		out = append(out, one)
	}
	return out
}

// forecast returns the place of a digest's forecast, and 1.
func (b *Bundle) forecast(d *LoadReport) int {
	if d.ForecastSequence == 0 {
		return 0
	}
	f := Forecast{Skew: d.Skew, Loading: d.Loading, Sequence: d.ForecastSequence}
	at := slices.Index(b.Forecasts, f)
	if at < 0 {
		at = len(b.Forecasts)
		b.Forecasts = append(b.Forecasts, f)
	}
	return at + 1
}

// LoadReport returns a report as its sidecar told it.
func (b *Bundle) LoadReport(r *RelayedReport) LoadReport {
	d := LoadReport{
		Target: graniteknot.Address(r.Target.String()), Running: r.Running, Waiting: r.Waiting, PassMicros: r.PassMicros,
		Pace: float32(r.Pace) / paceUnit, GroupOpen: r.GroupOpen, LifeMark: r.LifeMark,
	}
	if at := r.ForecastIndex - 1; at >= 0 && at < len(b.Forecasts) {
		f := b.Forecasts[at]
		d.Skew, d.Loading, d.ForecastSequence = f.Skew, f.Loading, f.Sequence
	}
	return d
}

// new returns the gateways that are new, in order of their names; called with the lock
// held.
func (b *Bundler) new(now time.Time) []Member {
	var out []Member
	for _, j := range b.joined {
		if now.Sub(j.since) < joinedFor {
			out = append(out, j.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return order(a, b) })
	return out
}
