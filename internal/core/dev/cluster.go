package dev

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/http"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/procconf"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/boxes"
	"graniteknot.org/go/internal/standin/engine"
	"graniteknot.org/go/internal/standin/logstore"
	"graniteknot.org/go/internal/standin/plain"
	"graniteknot.org/go/internal/standin/signer"
	"graniteknot.org/go/member"
)

// Partner is one partner's part of the cluster.
type Partner struct {
	Name    graniteknot.Partner
	Model   graniteknot.Service
	PlainOf graniteknot.Service
	Zones   []graniteknot.AvailabilityZone
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
	Entries []*app.Process
	Plain   []*app.Process
	// Keys are the bearer keys of the partner's accounts.
	Keys []string

	service   *plain.Service
	serviceAt graniteknot.Address
	client    *http.Client
}

// Cluster is everything that dev runs. Make it with NewCluster.
type Cluster struct {
	Log      *logstore.Store
	Boxes    *boxes.List
	Partners []*Partner
	// Model are the agents of the shared pool.
	Model []*app.Process

	options Options
	engines []*engine.Engine
	servers []*http.Server
	group   group.Group
	logAt   graniteknot.Address
	boxesAt graniteknot.Address
}

// Options change the cluster; the zero value is what make run uses.
type Options struct {
	// EngineStep is the time of one step of an engine.
	EngineStep time.Duration
	// AddressValid is the life of an address answer.
	AddressValid time.Duration
	// ModelTargets is how many engines and agents the shared pool has.
	ModelTargets int
	// PlainTarget and EngineTarget are used in place of the stand-ins for the targets, if they are set.
	PlainTarget, EngineTarget graniteknot.Address
}

// NewCluster builds the stand-ins and publishes the first settings; Start
// starts the processes.
func NewCluster(ctx context.Context, o Options) (*Cluster, error) {
	if o.EngineStep == 0 {
		o.EngineStep = engineStep
	}
	if o.AddressValid == 0 {
		o.AddressValid = addressValid
	}
	if o.ModelTargets == 0 {
		o.ModelTargets = modelTargets
	}
	c := &Cluster{options: o, Log: &logstore.Store{Rate: 400}, Boxes: &boxes.List{Lag: boxLag}}
	var err error
	if c.logAt, err = c.serve(c.Log.Handler()); err != nil {
		return nil, err
	}
	if c.boxesAt, err = c.serve(c.Boxes.Handler()); err != nil {
		return nil, err
	}
	c.Partners = []*Partner{
		newPartner(Herbarium, LabelReading, Catalogue, "oberpfalz"),
		newPartner(Communications, Drafting, Wire, "centro"),
	}
	if err := c.build(); err != nil {
		return nil, err
	}
	return c, c.publishAll(ctx)
}

func newPartner(name graniteknot.Partner, model, plainOf graniteknot.Service, place string) *Partner {
	p := &Partner{Name: name, Model: model, PlainOf: plainOf, service: &plain.Service{Delay: 2 * time.Millisecond}}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	p.Private, p.Public = signer.Key(name), signer.Public(name)
	for i := range zonesEach {
		p.Zones = append(p.Zones, graniteknot.AvailabilityZone(fmt.Sprintf("%s-%d", place, i+1)))
	}
	for i := range accountsEach {
		p.Keys = append(p.Keys, fmt.Sprintf("dev-%s-%02d", name, i+1))
	}
	return p
}

// build makes the processes in the order of the settings that name them.
func (c *Cluster) build() error {
	for i := range c.options.ModelTargets {
		at, err := c.engine()
		if err != nil {
			return err
		}
		owner := c.Partners[i%len(c.Partners)]
		p, err := c.process(owner, member.RoleAgent, fmt.Sprintf("engine-%d", i+1), i/len(c.Partners), at)
		if err != nil {
			return err
		}
		c.Model = append(c.Model, p)
	}
	for _, partner := range c.Partners {
		if err := c.buildPartner(partner); err != nil {
			return err
		}
	}
	return nil
}

// engine returns the address of one more engine.
func (c *Cluster) engine() (graniteknot.Address, error) {
	if c.options.EngineTarget != "" {
		return c.options.EngineTarget, nil
	}
	e := engine.New(engine.Config{Step: c.options.EngineStep, ChecksFences: true})
	c.engines = append(c.engines, e)
	return c.serve(e.Handler())
}

func (c *Cluster) buildPartner(p *Partner) error {
	at := c.options.PlainTarget
	if at == "" {
		var err error
		if at, err = c.serve(p.service); err != nil {
			return err
		}
	}
	p.serviceAt = at
	for i := range plainTargets {
		agent, err := c.process(p, member.RoleAgent, fmt.Sprintf("%s-%d", p.PlainOf, i+1), i, at)
		if err != nil {
			return err
		}
		p.Plain = append(p.Plain, agent)
	}
	for i := range entriesEach {
		entry, err := c.process(p, member.RoleEntry, fmt.Sprintf("%s-entry-%d", p.Name, i+1), i, "")
		if err != nil {
			return err
		}
		p.Entries = append(p.Entries, entry)
	}
	return nil
}

// process makes one entry or agent at a port from the kernel.
func (c *Cluster) process(p *Partner, role member.Role, box string, zone int, target graniteknot.Address) (*app.Process, error) {
	listener, address, err := listen()
	if err != nil {
		return nil, err
	}
	config := &procconf.Config{
		Role: role, Box: graniteknot.BoxName(box), Partner: p.Name, Zone: p.Zones[zone%zonesEach],
		Listen: address, Log: c.logAt, Boxes: c.boxesAt, Target: target, TargetKind: c.kindOf(target),
		Slots: engine.DefaultBatch, StopBound: stopBound, ClaimWindow: time.Minute, SnapshotEvery: 100,
	}
	for _, each := range c.Partners {
		config.Trust.Add(each.Name, each.Public)
	}
	if len(c.Model) > 0 {
		config.Seeds = []graniteknot.Address{c.Model[0].Config.Listen}
	}
	return app.New(config, listener)
}

// kindOf tells engines from the partners' plain services.
func (c *Cluster) kindOf(target graniteknot.Address) procconf.TargetKind {
	for _, p := range c.Partners {
		if p.serviceAt == target {
			return procconf.TargetPlain
		}
	}
	return procconf.TargetEngine
}

// Start starts every process.
func (c *Cluster) Start(ctx context.Context) error {
	var list []graniteknot.Box
	for _, p := range c.Processes() {
		if err := p.Start(ctx); err != nil {
			return err
		}
		list = append(list, graniteknot.Box{Name: p.Config.Box, Zone: p.Config.Zone, Address: p.Config.Listen})
	}
	c.Boxes.Set(list)
	return nil
}

// AddEntry starts one more entry of a partner, as a box that was replaced
// would.
func (c *Cluster) AddEntry(ctx context.Context, p *Partner) (*app.Process, error) {
	n := len(p.Entries)
	entry, err := c.process(p, member.RoleEntry, fmt.Sprintf("%s-entry-%d", p.Name, n+1), n, "")
	if err != nil {
		return nil, err
	}
	p.Entries = append(p.Entries, entry)
	return entry, entry.Start(ctx)
}

// Processes returns every entry and agent.
func (c *Cluster) Processes() []*app.Process {
	out := append([]*app.Process(nil), c.Model...)
	for _, p := range c.Partners {
		out = append(out, p.Plain...)
		out = append(out, p.Entries...)
	}
	return out
}

// LogAddress returns where the log listens.
func (c *Cluster) LogAddress() graniteknot.Address { return c.logAt }

// EngineAddress returns where an engine listens, without its agent.
func (c *Cluster) EngineAddress(i int) graniteknot.Address { return c.Model[i].Config.Target }

// Kill ends everything at once.
func (c *Cluster) Kill() {
	for _, p := range c.Processes() {
		p.Kill()
	}
	for _, p := range c.Partners {
		p.client.CloseIdleConnections()
	}
	for _, e := range c.engines {
		e.Stop()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.group.Stop()
}

func listen() (net.Listener, graniteknot.Address, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It ends with its server.
	if err != nil {
		return nil, "", err
	}
	return l, graniteknot.Address(l.Addr().String()), nil
}

// serve serves a stand-in at a port from the kernel.
func (c *Cluster) serve(h http.Handler) (graniteknot.Address, error) {
	const headerTime = 10 * time.Second
	l, address, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	c.servers = append(c.servers, server)
	c.group.Go(func(context.Context) { _ = server.Serve(l) })
	return address, nil
}
