package presence

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
)

// Bundle is what a relay received since its last bundle, forwarded to the gateways of its
// zone.
type Bundle struct {
	// Reports are the replicas' load reports, Forecasts the forecasts of the keepers of their
	// groups.
	Reports   []RelayedReport `cbor:"1,keyasint,omitempty"`
	Forecasts []Forecast      `cbor:"2,keyasint,omitempty"`
	// Ready and Unready are the hashes of the gateways that sent a datagram.
	Ready   []uint32 `cbor:"3,keyasint,omitempty"`
	Unready []uint32 `cbor:"4,keyasint,omitempty"`
	// Joined describes new gateways.
	Joined []Member `cbor:"5,keyasint,omitempty"`
	// ConfigVersion is the newest configuration version that any of them has.
	ConfigVersion uint64 `cbor:"6,keyasint,omitempty"`
	// StoreLost are the hashes of those of these gateways that can't reach the store.
	StoreLost []uint32 `cbor:"7,keyasint,omitempty"`
	// Repeated are the TargetHash of replicas whose newest report says the same as their last
	// full one; the oldest of these arrived RepeatedAgeMillis before the bundle.
	Repeated          []uint32 `cbor:"8,keyasint,omitempty"`
	RepeatedAgeMillis int64    `cbor:"9,keyasint,omitempty"`
	// Demand is the demand of all gateways for the coordinated services, as package demand encodes
	// it.
	Demand []byte `cbor:"10,keyasint,omitempty"`
	// Claims are promised returns of refused callers, as package returns encodes them.
	Claims []byte `cbor:"11,keyasint,omitempty"`
}

// RelayedReport is a LoadReport as a relay forwards it.
type RelayedReport struct {
	_       struct{} `cbor:",toarray"`
	Target  netip.AddrPort
	Running int
	Waiting int
	// PassMicros is LoadReport's.
	PassMicros int64
	// AgeMillis is how long before the bundle the report arrived.
	AgeMillis int64
	// Pace is LoadReport's in hundredths; 0 is unknown.
	Pace      int
	GroupOpen bool
	// ForecastIndex is the index of the replica's forecast in the bundle, plus 1; 0 is none.
	ForecastIndex int
	// LifeMark is LoadReport's.
	LifeMark catalog.Mark
}

// Forecast is a keeper's forecast as a relay forwards it; see LoadReport.
type Forecast struct {
	_        struct{} `cbor:",toarray"`
	Skew     float32
	Loading  bool
	Sequence uint64
}

const (
	// maxReportsPerBundle keeps a bundle within a packet: a report takes at most 30 bytes.
	maxReportsPerBundle = 40
	// maxGatewaysPerBundle and maxJoinedPerBundle bound the other entries of a bundle likewise.
	maxGatewaysPerBundle = 150
	maxRepeatedPerBundle = 220
	maxJoinedPerBundle   = 5
	// newMemberPeriod is for how long bundles repeat the description of a new gateway.
	newMemberPeriod = 2 * time.Second
	// paceScale is the number of units of a RelayedReport's pace in 1.
	paceScale = 100
)

// Bundler collects what a relay forwards. The zero value is empty.
type Bundler struct {
	mu      sync.Mutex
	reports map[graniteknot.Address]receivedReport
	// forwarded are the last full reports that were forwarded, by replica.
	forwarded map[graniteknot.Address]forwardedReport
	ready     map[graniteknot.BoxName]bool
	storeLost map[graniteknot.BoxName]bool
	// joined are the described gateways, with the time at which each became known.
	joined        map[graniteknot.BoxName]newMember
	configVersion uint64
	// droppedAt is when the forwarded reports were last checked for silent replicas.
	droppedAt time.Time
}

type receivedReport struct {
	report     LoadReport
	receivedAt time.Time
}

type newMember struct {
	member Member
	since  time.Time
}

// Add records a message from another process.
func (b *Bundler) Add(m *Message, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Load != nil {
		if b.reports == nil {
			b.reports = map[graniteknot.Address]receivedReport{}
		}
		b.reports[m.Load.Target] = receivedReport{*m.Load, now}
	}
	if m.Self == nil || m.Self.Role != RoleGateway {
		return
	}
	if b.ready == nil {
		b.ready, b.joined = map[graniteknot.BoxName]bool{}, map[graniteknot.BoxName]newMember{}
		b.storeLost = map[graniteknot.BoxName]bool{}
	}
	b.ready[m.Box] = m.Ready
	if m.StoreLost {
		b.storeLost[m.Box] = true
	} else {
		delete(b.storeLost, m.Box)
	}
	b.configVersion = max(b.configVersion, m.ConfigVersion)
	if known := b.joined[m.Box]; known.member.Incarnation != m.Self.Incarnation {
		b.joined[m.Box] = newMember{*m.Self, now}
	}
}

// Flush returns bundles of what was recorded since the last call.
func (b *Bundler) Flush(now time.Time) []Bundle {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.reportBundles(now)
	var rest Bundle
	rest.ConfigVersion = b.configVersion
	for box, ready := range b.ready {
		if ready {
			rest.Ready = append(rest.Ready, boxHash(box))
		} else {
			rest.Unready = append(rest.Unready, boxHash(box))
		}
		if b.storeLost[box] {
			rest.StoreLost = append(rest.StoreLost, boxHash(box))
		}
		if len(rest.Ready)+len(rest.Unready)+len(rest.StoreLost) >= maxGatewaysPerBundle {
			out, rest = append(out, rest), Bundle{ConfigVersion: b.configVersion}
		}
	}
	out = append(out, rest)
	for members := range slices.Chunk(b.recentlyJoined(now), maxJoinedPerBundle) {
		out = append(out, Bundle{Joined: members})
	}
	clear(b.reports)
	clear(b.ready)
	return out
}

// reportBundles returns bundles of load reports. The caller holds b.mu.
func (b *Bundler) reportBundles(now time.Time) []Bundle {
	var out []Bundle
	var one, repeated Bundle
	b.dropSilent(now)
	for _, h := range b.reports {
		if f, ok := b.forwarded[h.report.Target]; ok && f.repeats(&h.report, now) {
			repeated.add(&h, now)
			if len(repeated.Repeated) == maxRepeatedPerBundle {
				out, repeated = append(out, repeated), Bundle{}
			}
			continue
		}
		target, err := netip.ParseAddrPort(string(h.report.Target))
		if err != nil {
			// No request can be sent to an address that does not parse.
			continue
		}
		one.Reports = append(one.Reports, RelayedReport{
			Target: target, Running: h.report.Running, Waiting: h.report.Waiting, PassMicros: h.report.PassMicros,
			AgeMillis: now.Sub(h.receivedAt).Milliseconds(), Pace: int(paceScale*h.report.Pace + 0.5), GroupOpen: h.report.GroupOpen, ForecastIndex: one.forecastIndex(&h.report),
			LifeMark: h.report.LifeMark,
		})
		b.forwarded[h.report.Target] = forwardedReport{h.report, now}
		if len(one.Reports) == maxReportsPerBundle {
			out, one = append(out, one), Bundle{}
		}
	}
	if len(one.Reports) > 0 {
		out = append(out, one)
	}
	if len(repeated.Repeated) > 0 {
		out = append(out, repeated)
	}
	return out
}

// add adds a report that repeats an earlier one.
func (b *Bundle) add(r *receivedReport, now time.Time) {
	b.Repeated = append(b.Repeated, TargetHash(r.report.Target))
	b.RepeatedAgeMillis = max(b.RepeatedAgeMillis, now.Sub(r.receivedAt).Milliseconds())
}

// dropSilent forgets the forwarded reports of replicas that no longer report. The caller holds
// b.mu.
func (b *Bundler) dropSilent(now time.Time) {
	if b.forwarded == nil {
		b.forwarded = map[graniteknot.Address]forwardedReport{}
	}
	if now.Sub(b.droppedAt) < fullReportInterval {
		return
	}
	b.droppedAt = now
	maps.DeleteFunc(b.forwarded, func(_ graniteknot.Address, f forwardedReport) bool { return now.Sub(f.at) > 2*fullReportInterval })
}

// forecastIndex returns the index of a report's forecast in the bundle plus 1, and adds the
// forecast if needed; 0 if the report has none.
func (b *Bundle) forecastIndex(r *LoadReport) int {
	if r.ForecastSequence == 0 {
		return 0
	}
	f := Forecast{Skew: r.Skew, Loading: r.Loading, Sequence: r.ForecastSequence}
	at := slices.Index(b.Forecasts, f)
	if at < 0 {
		at = len(b.Forecasts)
		b.Forecasts = append(b.Forecasts, f)
	}
	return at + 1
}

// LoadReport returns a relayed report as its sidecar sent it.
func (b *Bundle) LoadReport(r *RelayedReport) LoadReport {
	out := LoadReport{
		Target: graniteknot.Address(r.Target.String()), Running: r.Running, Waiting: r.Waiting, PassMicros: r.PassMicros,
		Pace: float32(r.Pace) / paceScale, GroupOpen: r.GroupOpen, LifeMark: r.LifeMark,
	}
	if at := r.ForecastIndex - 1; at >= 0 && at < len(b.Forecasts) {
		f := b.Forecasts[at]
		out.Skew, out.Loading, out.ForecastSequence = f.Skew, f.Loading, f.Sequence
	}
	return out
}

// recentlyJoined returns the new gateways in relay priority order. The caller holds b.mu.
func (b *Bundler) recentlyJoined(now time.Time) []Member {
	var out []Member
	for _, j := range b.joined {
		if now.Sub(j.since) < newMemberPeriod {
			out = append(out, j.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return compareRelayPriority(a, b) })
	return out
}
