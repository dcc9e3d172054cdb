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
	"graniteknot.org/go/internal/core/directconf"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/fleet"
	"graniteknot.org/go/internal/core/forward"
	"graniteknot.org/go/internal/core/meter"
	"graniteknot.org/go/internal/core/presence"
	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/internal/core/quota"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/hostnet"
)

const (
	// keyMargin is taken from the age that a configuration may have, for clocks
	// that run a little apart. Nothing more is needed: the age counts from the
	// start of the read that proved the configuration, and a key that was taken
	// away since was taken away after that.
	keyMargin = 100 * time.Millisecond
	// spareGateways is how many more gateways may come than are known, before
	// the connections and retries of all are divided anew.
	spareGateways = 3
	// connShare is the part of a replica's connections that the gateways use.
	connShare = 0.8
	// sweepPeriod is how often connections that rested too long are closed.
	sweepPeriod = time.Second
)

// Options are what a Gateway is made of.
type Options struct {
	Config     *directconf.Config
	Store      graniteknot.KeyedStore
	Translator Translator
	Log        *eventlog.Log
	// LogWriter is the log's writer; nil when nothing counts what it drops.
	LogWriter   *eventlog.Writer
	Meter       *meter.Meter
	Incarnation graniteknot.Incarnation
	// Clock is what ages, leases and deadlines are decided by.
	Clock graniteknot.AgeClock
	// Network opens the gateway's addresses; nil for the machine's own.
	Network graniteknot.Network
}

// Gateway is the process. Make it with New.
type Gateway struct {
	Options
	Catalog   catalog.Holder
	Fleet     fleet.Table
	Pool      conns.Pool
	Members   presence.View
	Forwarder forward.Forwarder
	Health    watch.Health
	// Quarantine knows the requests that are kept from replicas.
	Quarantine quarantine.Table
	// Limits deals out the limits of which this gateway is the home.
	Limits quota.Home

	socket *presence.Socket
	// census learns who is known from relays.
	census presence.MemberSync
	// met is closed once the members are known, or can't be read; before that unknown is set
	// where the store has no record of this gateway.
	met     chan struct{}
	unknown bool
	// wanted is closed when a request first has to wait for the configuration.
	wanted     chan struct{}
	wantedOnce sync.Once
	started    time.Time
	servers    servers
	group      group.Group
	// validity knows how old the replicas' records are.
	validity validity
	// shared are the records that other gateways may take.
	shared shared
	// due tells that something of limits is to be sent.
	due chan struct{}
	// quarantineShelf has packs of the quarantine that others are taking.
	quarantineShelf presence.PackCache
	// ward tells and keeps what the quarantine knows.
	ward ward
	// bundler collects what this gateway passes on as a relay; relaying tells that it is
	// one, and relayed when it last told all others so.
	bundler  presence.Bundler
	relaying atomic.Bool
	relayed  time.Time
	// leaving is set once a planned stop has begun.
	leaving atomic.Bool
	// bounds are the settings that a reload changes; the rest of Config is fixed
	// for the life of the process.
	bounds atomic.Pointer[directconf.Config]
	// odd tells of records that can't be used.
	odd eventlog.Sparse
	// firstAsked tells that others were asked before the first configuration came into force;
	// the settings' follower alone uses it.
	firstAsked bool
	// lost is what was last told of the store; lostChanges counts what was heard of others.
	lost        atomic.Bool
	lostChanges atomic.Uint64
	// settingsWake and replicasWake end the pauses of those that follow the store; newerWake
	// tells that another gateway has a newer configuration, relayWake that the zone is to be
	// told something at once.
	settingsWake, replicasWake, newerWake, relayWake chan struct{}
	// newer knows of the newest configuration that others have; settingsFrom is the source of
	// the last proof of this one's.
	newer        newer
	settingsFrom atomic.Pointer[source]
	// stale tells that the last look found the configuration too old.
	stale atomic.Bool
}

// New returns a gateway that does nothing until Start.
func New(p Options) *Gateway {
	if p.Network == nil {
		p.Network = hostnet.Network{}
	}
	p.Store = &watch.MeteredStore{Store: p.Store, Meter: p.Meter}
	g := &Gateway{
		Options: p, met: make(chan struct{}), wanted: make(chan struct{}), due: make(chan struct{}, 1),
		settingsWake: make(chan struct{}, 1), replicasWake: make(chan struct{}, 1),
		newerWake: make(chan struct{}, 1), relayWake: make(chan struct{}, 1),
	}
	g.bounds.Store(p.Config)
	g.settingsFrom.Store(&source{})
	g.servers.network = p.Network
	g.Health.Log = p.Log
	g.Fleet.Clock, g.Pool.Clock = p.Clock, p.Clock
	g.Forwarder = forward.Forwarder{
		Codec: p.Translator, Pool: &g.Pool, Fleet: &g.Fleet, Log: p.Log, Meter: p.Meter, Zone: p.Config.Zone,
		Clock: p.Clock, ConfigFresh: g.fresh, ConnLimit: g.connLimit, Quarantine: &g.Quarantine,
		RetryBudgets: &forward.RetryBudgets{Percent: g.retryPercent, Burst: g.retryBurst},
	}
	g.Quarantine.OnChange = g.quarantineChanged
	g.Fleet.NotifyOutbox(quota.BoxOf(p.Config.Box), g.limitsDue)
	return g
}

// Start opens the addresses and begins the gateway's own work.
func (g *Gateway) Start(ctx context.Context) error {
	c := g.Config
	conn, err := g.Network.ListenPacket(ctx, c.Peers)
	if err != nil {
		return err
	}
	g.started = g.Clock.Now()
	g.socket = presence.NewSocket(conn, c.Box, g.Incarnation, g.Log, g.heard)
	g.census = presence.MemberSync{Socket: g.socket, View: &g.Members, Self: g.self(), Sources: g.readersPeers, Clock: g.Clock}
	g.socket.HandleQueries(g.answerPeer)
	if err := g.listen(ctx); err != nil {
		return err
	}
	g.gauges()
	g.follow()
	g.Log.Info("started", slog.String("requests", string(c.Requests)), slog.String("zone", string(c.Zone)),
		slog.String("store", string(c.Store)), slog.Uint64("born", uint64(g.Incarnation)))
	return nil
}

// follow begins the loops.
func (g *Gateway) follow() {
	g.group.Go(g.followSettings)
	g.group.Go(g.followReplicas)
	g.group.Go(g.followQuarantine)
	g.group.Go(g.sendLimits)
	g.group.Go(g.takeNewer)
	g.group.Go(g.relayEarly)
	registrar := &presence.Registrar{
		Store: g.Store, Self: g.self(), View: &g.Members, Health: &g.Health, Log: g.Log, Clock: g.Clock,
		OnJoin: g.greet, SyncFromPeer: g.askCensus, OnFirstRead: g.membersMet,
	}
	g.group.Go(registrar.Register)
	g.group.Go(registrar.Follow)
	g.every(presence.HeartbeatInterval, g.hello)
	g.every(presence.BundleInterval, g.relay)
	g.every(sweepPeriod, g.Pool.Sweep)
	g.every(lookPeriod, g.look)
	g.every(silencePeriod, g.watchSilence)
	g.every(wardPeriod, g.keepQuarantine)
}

// every calls step at a period until the gateway stops.
func (g *Gateway) every(period time.Duration, step func()) {
	g.group.Go(func(ctx context.Context) { delay.Every(ctx, period, func(context.Context) { step() }) })
}

func (g *Gateway) self() presence.Member {
	c := g.Config
	return presence.Member{
		Box: c.Box, Role: presence.RoleGateway, Zone: c.Zone, PeerAddress: c.Peers, RequestAddress: c.Requests, Incarnation: g.Incarnation,
		LinkRate: c.Link,
	}
}

// ready tells whether the gateway takes requests.
func (g *Gateway) ready() bool {
	if g.leaving.Load() {
		return false
	}
	tree, age := g.Catalog.Current(g.Clock.Now())
	return tree != nil && (!tree.Tenanted || g.trusts(tree, age))
}

func (g *Gateway) keyAge() time.Duration { return g.bounds.Load().KeyAge - keyMargin }

// fresh tells whether a key may be trusted now.
func (g *Gateway) fresh() bool {
	tree, age := g.Catalog.Current(g.Clock.Exact())
	return tree != nil && g.trusts(tree, age)
}

// trusts tells whether a key may be trusted under a tree that was last proved to
// be the newest so long ago. Strict operators have keys refused from a certain
// age on, since one may have been taken away. Others have them served on, but not
// once another gateway is known to have a newer tree.
func (g *Gateway) trusts(tree *catalog.Tree, age time.Duration) bool {
	if age < g.keyAge() {
		return true
	}
	return g.bounds.Load().KeysUnproved && uint64(tree.Version) >= g.Members.NewestConfigVersion()
}

// gateways is how many may send requests, those still to come included.
func (g *Gateway) gateways() int {
	return len(g.Members.Members(presence.RoleGateway, g.Config.Box)) + 1 + spareGateways
}

func (g *Gateway) connLimit(s *catalog.Service) int {
	if s.MaxConnections == 0 {
		return 0
	}
	return max(1, int(connShare*float64(s.MaxConnections))/g.gateways())
}

// retryShare is the part of the retry budget that is used, since windows slide
// and the gateways do not see each other's retries.
const retryShare = 0.7

func (g *Gateway) retryPercent() int64 { return int64(retryShare * g.bounds.Load().RetryPercent) }

func (g *Gateway) retryBurst() float64 {
	return retryShare * g.bounds.Load().RetryExtra / float64(g.gateways())
}
