//go:build review

// Package rig starts the project's gateways as separate processes with the settings template of the
// deploy file, between stand-ins of the platform's store, of replicas and of clients, all on
// loopback. The review's scripts use it.
package rig

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform"
	"graniteknot.org/go/platform/platformtest"
)

// Bounds of the small sites, as their settings files give them.
const (
	DrainTimeout = 2000 * time.Millisecond
	Contact      = 3000 * time.Millisecond
	Heartbeat    = 1200 * time.Millisecond
)

// Host is the host of all routes, Key the one API key.
const (
	Host = "ficu95.example"
	Key  = "n2ctnfzs989anu6wsjnb"
)

// Record writes lines to record.txt, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// At returns a time as record.txt shows it.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.start).Seconds()) }

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s "+format+"\n", append([]any{r.At(now)}, args...)...)
}

// NewID returns a new request id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// FreeAddress returns a free TCP address at an ip.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// FreeIP returns a loopback ip on which the metrics' port, which the template fixes, is free.
func FreeIP() (string, error) {
	for range 100 {
		var b [3]byte
		_, _ = rand.Read(b[:])
		ip := fmt.Sprintf("127.%d.%d.%d", 1+b[0]%250, b[1], 1+b[2]%250)
		l, err := net.Listen("tcp4", ip+":9109")
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", errors.New("no free loopback ip")
}

// Fill fills in the gaps {{a.b}} and {{a.0}} of a settings template, as DEPLOY.md tells: a list is
// joined by commas, a table stands as JSON.
func Fill(template string, fields any) (string, error) {
	all, err := json.Marshal(fields)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, closed := strings.Cut(rest, "}}")
		if !closed || strings.ContainsAny(name, "#/^|") {
			return "", fmt.Errorf("gap %q is not understood", name)
		}
		v := gjson.GetBytes(all, name)
		switch {
		case v.IsArray():
			var parts []string
			for _, x := range v.Array() {
				parts = append(parts, x.String())
			}
			out.WriteString(strings.Join(parts, ","))
		case v.IsObject():
			out.WriteString(v.Raw)
		default:
			out.WriteString(v.String())
		}
		template = after
	}
}

// started holds the processes that have to end with this one.
var started struct {
	sync.Mutex
	list []*os.Process
}

// EndWithSignals ends all started processes, and this one with 2, if a signal ends it early.
func EndWithSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		started.Lock()
		for _, p := range started.list {
			_ = p.Kill()
		}
		os.Exit(2)
	}()
}

// Gateway is one gateway process.
type Gateway struct {
	Name     string
	Frontend string
	ready    string
	command  *exec.Cmd
	log      *os.File
}

// Zones of the site sma-difusao.
var Zones = []string{"esgueira", "cacia", "ilhavo"}

// StartGateway starts a gateway with the command and the template of the deploy file.
func StartGateway(dir, name, zone, store string) (*Gateway, error) {
	ip, err := FreeIP()
	if err != nil {
		return nil, err
	}
	var listen [3]string
	for i := range listen {
		if listen[i], err = FreeAddress(ip); err != nil {
			return nil, err
		}
	}
	peers, err := FreeAddress(ip)
	if err != nil {
		return nil, err
	}
	_, peerPort, _ := net.SplitHostPort(peers)
	port, _ := strconv.Atoi(peerPort)
	regions := map[string]string{}
	for _, z := range Zones {
		regions[z] = "centro"
	}
	fields := map[string]any{
		"node_name": name, "role": "gateway", "machine_class": "edge", "ip": ip, "zone": zone, "region": "centro", "zones": regions,
		"listen_addrs":        map[string]any{"frontend": listen[0], "readiness": listen[1], "registry": listen[2]},
		"internal_port_range": []int{port, port + 15},
		"limits":              map[string]any{"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"contracts":           []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"},
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_timeout_ms": 2000, "grace_period_s": 8, "revoke_strict": true, "revoke_timeout_ms": 5000,
			"retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_min_extra": 88, "fencing_enforced": true, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": store, "form": "log"},
	}
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return nil, err
	}
	text, err := Fill(string(template), fields)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: name, Frontend: listen[0], ready: listen[1], log: log}
	g.command = exec.Command("target/graniteknot", "gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + file}
	g.command.Stdout, g.command.Stderr = log, log
	started.Lock()
	defer started.Unlock()
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	started.list = append(started.list, g.command.Process)
	return g, nil
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		r, err := http.Get("http://" + g.ready + platform.Dialect{}.ReadyPath())
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", g.Name, ctx.Err())
}

// Stop ends the process.
func (g *Gateway) Stop() {
	_ = g.command.Process.Signal(syscall.SIGKILL)
	_ = g.command.Wait()
	_ = g.log.Close()
}

// Replicas registers replicas in the store and sends their heartbeats.
type Replicas struct {
	Store   *platformtest.Store
	Service string

	mu   sync.Mutex
	live map[string]*platformtest.Replica
	zone map[string]string
	n    int
}

// Add starts a replica and registers it.
func (r *Replicas) Add(zone string, script platformtest.Script) (*platformtest.Replica, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	x, err := platformtest.NewReplica("i-" + NewID())
	if err != nil {
		return nil, err
	}
	x.Always(script)
	if r.live == nil {
		r.live, r.zone = map[string]*platformtest.Replica{}, map[string]string{}
	}
	r.live[x.ID], r.zone[x.ID] = x, zone
	r.write(x)
	return x, nil
}

func (r *Replicas) write(x *platformtest.Replica) {
	r.Store.Records.Put(graniteknot.TopicReplicas, x.ID, platformtest.ReplicaRecord{
		Service: r.Service, Address: x.Address(), Zone: graniteknot.AvailabilityZone(r.zone[x.ID]),
	}.JSON())
}

// Vanish removes a replica's entry from the store, and returns when the store has taken that.
func (r *Replicas) Vanish(x *platformtest.Replica) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.live, x.ID)
	r.Store.Records.Put(graniteknot.TopicReplicas, x.ID, nil)
	return time.Now()
}

// Beat sends heartbeats until ctx is done.
func (r *Replicas) Beat(ctx context.Context) {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		for _, x := range r.live {
			r.write(x)
		}
		r.mu.Unlock()
	}
}

// Way is a TCP proxy between one gateway and the store.
type Way struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	silent bool
	conns  []*passage
}

type passage struct {
	mu   sync.Mutex
	dead bool
}

func (p *passage) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// NewWay starts a proxy.
func NewWay(to string) (*Way, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Way{listener: l, to: to}
	go w.accept()
	return w, nil
}

// Address is where the proxy listens.
func (w *Way) Address() string { return w.listener.Addr().String() }

func (w *Way) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.pass(c)
	}
}

func (w *Way) pass(near net.Conn) {
	far, err := net.Dial("tcp4", w.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &passage{}
	w.mu.Lock()
	p.dead = w.silent
	w.conns = append(w.conns, p)
	w.mu.Unlock()
	forward := func(to, from net.Conn) {
		defer func() { _, _ = to.Close(), from.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.isDead() {
				// The connection says nothing further; the caller has to give it up.
				if err != nil {
					return
				}
				continue
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
				return
			}
		}
	}
	go forward(near, far)
	forward(far, near)
}

// Silence has the store give this gateway no answer for a time. Connections that are open or opened
// meanwhile say nothing further; later ones work.
func (w *Way) Silence(d time.Duration) {
	w.mu.Lock()
	w.silent = true
	for _, p := range w.conns {
		p.mu.Lock()
		p.dead = true
		p.mu.Unlock()
	}
	w.conns = nil
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	w.silent = false
	w.mu.Unlock()
}

// Answer is what a client got.
type Answer struct {
	// Status is 0 without an answer.
	Status int
	Header http.Header
	Body   []byte
	// Whole reports that the answer was received to its end.
	Whole bool
}

// Client sends requests over kept connections.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second}}}
}

// Deadline is how long clients wait, as platformtest.Sign tells the gateway.
const Deadline = 20 * time.Second

// Post sends a request to a gateway.
func (c *Client) Post(ctx context.Context, gateway, path, id, body string) Answer {
	ctx, cancel := context.WithTimeout(ctx, Deadline)
	defer cancel()
	// Without GetBody, net/http never sends a request a second time by itself.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return Answer{}
	}
	r.ContentLength = int64(len(body))
	r.Host = Host
	platformtest.Sign(r, id, Key)
	answer, err := c.http.Do(r)
	if err != nil {
		return Answer{}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return Answer{answer.StatusCode, answer.Header, text, err == nil}
}
