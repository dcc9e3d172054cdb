package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/core/demand"
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/evacuation"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/graceful"
	"graniteknot.org/go/internal/core/membudget"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/quota"
	"graniteknot.org/go/internal/core/returns"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/hostnet"
)

const (
	// keyMargin is subtracted from the maximum age of a configuration to allow for clock rate
	// differences between machines. No more is needed: the age counts from the start of the read
	// that confirmed the configuration, and any key revoked since was revoked after that.
	keyMargin = 100 * time.Millisecond
	// gatewayHeadroom is how many gateways may join before the connections and retries are divided
	// again among all gateways.
	gatewayHeadroom = 3
	// connShare is the fraction of a replica's connections that the gateways use.
	connShare = 0.8
	// sweepPeriod is the interval at which idle connections are closed.
	sweepPeriod = time.Second
)

// Options are the settings and dependencies of a Gateway.
type Options struct {
	Config     *directconf.Config
	Store      graniteknot.KeyedStore
	Translator Translator
	Log        *eventlog.Log
	// LogWriter is the writer behind Log, asked for its count of dropped lines; may be nil.
	LogWriter   *eventlog.Writer
	Meter       *meter.Meter
	Incarnation graniteknot.Incarnation
	// Clock measures ages, leases and deadlines.
	Clock graniteknot.AgeClock
	// Network opens the gateway's listeners; nil means the host's network.
	Network graniteknot.Network
}

// Gateway is a gateway process. Create it with New.
type Gateway struct {
	Options
	Catalog   catalog.Holder
	Fleet     fleet.Table
	Pool      conns.Pool
	Members   presence.View
	Forwarder forward.Forwarder
	Health    watch.Health
	// Quarantine holds the requests and prompt parts that are not sent to replicas.
	Quarantine quarantine.Table
	// Evacuations holds the zones whose replicas get no requests.
	Evacuations evacuation.Table
	// Claims holds the promised returns of refused callers.
	Claims returns.Claims
	// Limits grants permits for the rate limits that this gateway owns.
	Limits quota.Allocator

	// buffered counts the bodies of requests and responses that are held.
	buffered membudget.Budget

	socket *presence.Socket
	// demand holds what all gateways know of the requests for coordinated services.
	demand demand.Exchange
	// discovery learns of other processes from gateways.
	discovery presence.MemberSync
	// membersLoaded is closed once the member records were read, or reading them failed.
	// unregistered is set before, if the store has no record of this gateway.
	membersLoaded chan struct{}
	unregistered  bool
	// configNeeded is closed when the first request has to wait for a configuration.
	configNeeded     chan struct{}
	configNeededOnce sync.Once
	startedAt        time.Time
	servers          servers
	group            group.Group
	// freshness tracks how recently the replica records were confirmed.
	freshness freshness
	// recordCache holds the store records that other gateways can fetch. replicasMu serializes changes
	// of the known replicas, so that it always holds the records of just these.
	recordCache recordCache
	replicasMu  sync.Mutex
	// limitsPending signals that limit messages are waiting to be sent.
	limitsPending chan struct{}
	// quarantinePacks holds the quarantine snapshots that other gateways are fetching.
	quarantinePacks presence.PackCache
	// quarantineReplication tracks which quarantine entries peers and the store have.
	quarantineReplication replicationState
	// software is used by maintainQuarantine only.
	software softwareWatch
	// evidencePending is set while something in favor of prompt parts waits to be sent.
	evidencePending atomic.Bool
	// bundler collects what this gateway forwards as a relay. relaying is set while it is one, and
	// relayAnnouncedAt is when it last announced that to all processes.
	bundler          presence.Bundler
	relaying         atomic.Bool
	relayAnnouncedAt time.Time
	// leaving is set once a graceful shutdown has begun, shutdown is its schedule.
	leaving  atomic.Bool
	shutdown atomic.Pointer[graceful.Schedule]
	// bodyReads holds the reads of requests' bodies.
	bodyReads bodyReads
	// reloadable holds the settings that Reload replaces; the rest of Config is fixed for the life
	// of the process.
	reloadable atomic.Pointer[directconf.Config]
	// malformedLog logs malformed records at a limited rate.
	malformedLog eventlog.Sparse
	// malformedDemandLog logs malformed summaries of demand at a limited rate.
	malformedDemandLog eventlog.Sparse
	// firstVersionChecked is set once peers were asked for a newer configuration than the first
	// one read from the store. Used only by the goroutine that follows the settings.
	firstVersionChecked bool
	// storeLost is the last announced state of the store for this gateway; seenLossChanges is the
	// last seen count of such changes at other gateways.
	storeLost       atomic.Bool
	seenLossChanges atomic.Uint64
	// settingsWake and replicasWake interrupt the pauses of the store followers. peerVersionWake
	// signals that another gateway has a newer configuration, relayWake that a bundle is to be
	// relayed at once.
	settingsWake, replicasWake, peerVersionWake, relayWake chan struct{}
	// peerVersions tracks the newest configuration version of the other gateways; settingsSource
	// is where the last confirmation of this gateway's configuration came from.
	peerVersions   peerVersions
	settingsSource atomic.Pointer[recordSource]
	// evacuationMu serializes applying changes of the evacuated zones to the replicas.
	evacuationMu sync.Mutex
	// outageContested is set while other gateways disagree on whether the store was available during
	// the last outage of this one.
	outageContested atomic.Bool
	// keysStale is set if the last check found the configuration too old to trust keys.
	keysStale atomic.Bool
}

// New returns a Gateway that does nothing until Start.
func New(o Options) *Gateway {
	if o.Network == nil {
		o.Network = hostnet.Network{}
	}
	o.Store = &watch.MeteredStore{Store: o.Store, Meter: o.Meter}
	g := &Gateway{
		Options: o, membersLoaded: make(chan struct{}), configNeeded: make(chan struct{}), limitsPending: make(chan struct{}, 1),
		settingsWake: make(chan struct{}, 1), replicasWake: make(chan struct{}, 1),
		peerVersionWake: make(chan struct{}, 1), relayWake: make(chan struct{}, 1),
	}
	g.reloadable.Store(o.Config)
	g.settingsSource.Store(&recordSource{})
	g.servers.network = o.Network
	g.Health.Log, g.Health.PeerReadWindow = o.Log, peerReadWindow(o.Config.Drain)
	g.Fleet.Clock, g.Pool.Clock = o.Clock, o.Clock
	g.Fleet.Demand = g.demand.Totals
	g.Forwarder = forward.Forwarder{
		Codec: o.Translator, Pool: &g.Pool, Fleet: &g.Fleet, Log: o.Log, Meter: o.Meter, Zone: o.Config.Zone, Regions: o.Config.Zones,
		Clock: o.Clock, ConfigFresh: g.keysFresh, ConnLimit: g.connLimit, Quarantine: &g.Quarantine,
		RetryBudgets: &forward.RetryBudgets{Percent: g.retryPercent, Burst: g.retryBurst},
	}
	g.Pool.MaxHead = int(o.Config.MaxResponseHead)
	g.Forwarder.Buffered, g.Forwarder.ForwardBy = &g.buffered, g.forwardBy
	g.buffered.SetLimit(int64(o.Config.Memory / bufferedShare))
	if o.Config.SlowPeers {
		g.boundUnread()
	}
	g.Quarantine.OnChange, g.Quarantine.OnEvidence, g.Quarantine.MayTry = g.onQuarantineChange, g.onQuarantineEvidence, g.mayTryPart
	g.Fleet.NotifyOutbox(quota.HashBox(o.Config.Box), g.signalLimits)
	return g
}

// Start opens the listeners and starts the background loops.
func (g *Gateway) Start(ctx context.Context) error {
	c := g.Config
	conn, err := g.Network.ListenPacket(ctx, c.Peers)
	if err != nil {
		return err
	}
	g.startedAt = g.Clock.Now()
	g.socket = presence.NewSocket(conn, c.Box, g.Incarnation, g.Log, g.receive)
	g.discovery = presence.MemberSync{Socket: g.socket, View: &g.Members, Self: g.self(), Sources: g.readerAddresses, Clock: g.Clock}
	g.socket.HandleQueries(g.answerPeer)
	if err := g.listen(ctx); err != nil {
		return err
	}
	g.registerGauges()
	g.startLoops()
	g.Log.Info("started", slog.String("requests", string(c.Requests)), slog.String("zone", string(c.Zone)),
		slog.String("store", string(c.Store)), slog.Uint64("born", uint64(g.Incarnation)))
	return nil
}

// startLoops starts the background loops.
func (g *Gateway) startLoops() {
	g.group.Go(g.followSettings)
	g.group.Go(g.followReplicas)
	g.group.Go(g.followQuarantine)
	g.group.Go(g.runLimitSender)
	g.group.Go(g.followPeerVersions)
	g.group.Go(g.relayOnWake)
	g.group.Go(g.refreshDemandLoop)
	g.group.Go(func(ctx context.Context) { delay.Every(ctx, outageCheckPeriod, g.explainOutage) })
	registrar := &presence.Registrar{
		Store: g.Store, Self: g.self(), View: &g.Members, Health: &g.Health, Log: g.Log, Clock: g.Clock,
		OnJoin: g.sendHeartbeatTo, SyncFromPeer: g.discoverMembers, OnFirstRead: g.onMembersLoaded,
	}
	g.group.Go(registrar.Register)
	g.group.Go(registrar.Follow)
	g.runEvery(presence.HeartbeatInterval, g.sendHeartbeat)
	g.runEvery(presence.BundleInterval, g.relayBundles)
	g.runEvery(sweepPeriod, g.Pool.Sweep)
	g.runEvery(ageCheckPeriod, g.checkAges)
	g.runEvery(silenceCheckPeriod, g.checkSilence)
	g.runEvery(quarantineWritePeriod, g.maintainQuarantine)
}

// runEvery calls step periodically until the gateway stops.
func (g *Gateway) runEvery(period time.Duration, step func()) {
	g.group.Go(func(ctx context.Context) { delay.Every(ctx, period, func(context.Context) { step() }) })
}

func (g *Gateway) self() presence.Member {
	c := g.Config
	return presence.Member{
		Box: c.Box, Role: presence.RoleGateway, Zone: c.Zone, PeerAddress: c.Peers, RequestAddress: c.Requests, Incarnation: g.Incarnation,
		LinkRate: c.Link,
	}
}

// ready reports whether the gateway accepts requests.
func (g *Gateway) ready() bool {
	if g.leaving.Load() {
		return false
	}
	tree, age := g.Catalog.Current(g.Clock.Now())
	return tree != nil && (!tree.Tenanted || g.trustsKeys(tree, age))
}

func (g *Gateway) maxKeyAge() time.Duration { return g.reloadable.Load().KeyAge - keyMargin }

// keysFresh reports whether the configuration is recent enough to trust a key.
func (g *Gateway) keysFresh() bool {
	tree, age := g.Catalog.Current(g.Clock.Exact())
	return tree != nil && g.trustsKeys(tree, age)
}

// trustsKeys reports whether keys may be trusted under a configuration that was last confirmed as
// the newest so long ago. Without KeysUnproved, keys are refused once that is too long, since a
// key may have been revoked meanwhile. With it they are accepted until another gateway is known to
// have a newer configuration.
func (g *Gateway) trustsKeys(tree *catalog.Tree, age time.Duration) bool {
	if age < g.maxKeyAge() {
		return true
	}
	return g.reloadable.Load().KeysUnproved && uint64(tree.Version) >= g.Members.NewestConfigVersion()
}

// gatewayCount is the number of gateways that limits are divided by, including gatewayHeadroom.
func (g *Gateway) gatewayCount() int {
	return g.Members.Count(presence.RoleGateway, g.Config.Box) + 1 + gatewayHeadroom
}

func (g *Gateway) connLimit(s *catalog.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(1, int(connShare*float64(s.MaxConnections))/g.gatewayCount())
}

// retryShare is the fraction of the retry budget that is used: its windows slide, and gateways do
// not see each other's retries.
const retryShare = 0.7

func (g *Gateway) retryPercent() int64 { return int64(retryShare * g.reloadable.Load().RetryPercent) }

func (g *Gateway) retryBurst() float64 {
	return retryShare * g.reloadable.Load().RetryExtra / float64(g.gatewayCount())
}
