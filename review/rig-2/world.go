//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform"
	"graniteknot.org/go/platform/platformtest"
)

// world holds the stand-ins and the processes of one case.
type world struct {
	dir    string
	store  *platformtest.Store
	record *os.File

	mu       sync.Mutex
	began    time.Time
	replicas []*replica
	gateways []*gateway
	beat     int
	ended    bool
}

// replica is a replica's process.
type replica struct {
	id, service, zone string
	address           string
	command           *exec.Cmd
	input             io.Writer
	exited            chan struct{}

	mu       sync.Mutex
	phase    string
	silent   bool
	runs     []run
	finished map[string]bool
}

// run is a request that a replica ran.
type run struct {
	id string
	at time.Time
}

// gateway is a gateway's process.
type gateway struct {
	name, ip string
	values   map[string]any
	settings string
	log      string
	command  *exec.Cmd
	exited   chan struct{}
	frontend string
	ready    string
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, store: platformtest.NewStore(), began: time.Now()}
	go w.heartbeats()
	return w, nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.replicas {
		_ = r.command.Process.Kill()
		<-r.exited
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

func (g *gateway) kill() {
	select {
	case <-g.exited:
	default:
		_ = g.command.Process.Kill()
		<-g.exited
	}
}

// putConfig writes the operator's configuration, which is like that of the small deployment.
func (w *world) putConfig() {
	w.store.Records.Put(graniteknot.TopicSettings, "config", []byte(text("config.json")))
	w.note("store: the configuration is acknowledged")
}

// slots is how many requests a replica of the small site works on at once.
const slots = 12

const heartbeat = 1200 * time.Millisecond

// heartbeats has each replica write to the store about every heartbeat.
func (w *world) heartbeats() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		ended, list := w.ended, append([]*replica(nil), w.replicas...)
		w.mu.Unlock()
		if ended {
			return
		}
		for _, r := range list {
			r.mu.Lock()
			silent := r.silent
			r.mu.Unlock()
			if !silent {
				w.putReplica(r)
			}
		}
	}
}

// putReplica writes a replica's record; the answer of the store is the acknowledgement.
func (w *world) putReplica(r *replica) {
	w.mu.Lock()
	w.beat++
	beat := w.beat
	w.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	record := text("record.json", "service", r.service, "address", r.address, "zone", r.zone, "phase", r.phase, "slots", strconv.Itoa(slots), "beat", strconv.Itoa(beat))
	w.store.Records.Put(graniteknot.TopicReplicas, r.id, []byte(record))
}

// drain has a replica say that it leaves, and returns when the store has taken that.
func (w *world) drain(r *replica) time.Time {
	r.mu.Lock()
	r.phase = "draining"
	r.mu.Unlock()
	w.putReplica(r)
	at := time.Now()
	w.note("store: %s is draining, acknowledged", r.id)
	return at
}

// startReplica starts a replica's process and registers it.
func (w *world) startReplica(id, service, zone string) (*replica, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, phase: "ready", exited: make(chan struct{}), finished: map[string]bool{}}
	r.command = exec.Command(self, "replica", id, "127.0.0.1:0", strconv.Itoa(slots))
	r.command.Stderr = os.Stderr
	if r.input, err = r.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := r.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, errors.New("replica does not start")
	}
	r.address = strings.TrimPrefix(lines.Text(), "listens ")
	go func() {
		for lines.Scan() {
			w.replicaSaid(r, lines.Text())
		}
		_ = r.command.Wait()
		close(r.exited)
	}()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	w.putReplica(r)
	w.note("replica %s of %s at %s", id, service, r.address)
	return r, nil
}

func (w *world) replicaSaid(r *replica, line string) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return
	}
	micros, _ := strconv.ParseInt(fields[2], 10, 64)
	at := time.UnixMicro(micros)
	r.mu.Lock()
	switch fields[0] {
	case "runs":
		r.runs = append(r.runs, run{fields[1], at})
	case "done":
		r.finished[fields[1]] = true
	}
	r.mu.Unlock()
	w.note("replica %s %s %s", r.id, fields[0], fields[1])
}

// end ends a replica as its machine does at a planned end: the process gets SIGTERM and ends.
func (w *world) end(r *replica) {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	_ = r.command.Process.Signal(syscall.SIGTERM)
	<-r.exited
	w.note("replica %s has ended", r.id)
}

// forget removes a replica's record.
func (w *world) forget(r *replica) {
	w.store.Records.Put(graniteknot.TopicReplicas, r.id, nil)
	w.note("store: the record of %s is gone", r.id)
}

// runsOf returns which replicas ran a request.
func (w *world) runsOf(id string) (ran, finished []string) {
	for _, r := range w.replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			if x.id == id {
				ran = append(ran, r.id)
			}
		}
		if r.finished[id] {
			finished = append(finished, r.id)
		}
		r.mu.Unlock()
	}
	return ran, finished
}

// freePort returns a port that is free at an address now.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// metricsPort is the fixed one in the template.
const metricsPort = 9109

// freeAddress returns a loopback address at which the fixed port of the template is free.
func freeAddress() (string, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, metricsPort))
		if err == nil {
			_ = l.Close()
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

// smallBounds are the bounds on the sheet of the small deployment.
func smallBounds() map[string]any {
	return map[string]any{
		"grace_period_s": 8, "revoke_timeout_ms": 5000, "revoke_strict": true, "drain_timeout_ms": 2000, "ttl_max_s": 5,
		"retry_budget_ratio": 0.2, "retry_min_extra": 88, "fencing_enforced": true,
	}
}

// startGateway starts a gateway with the bounds in its settings.
func (w *world) startGateway(name string, bounds map[string]any) (*gateway, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, ip: ip, settings: filepath.Join(w.dir, name+".ini"), log: filepath.Join(w.dir, name+".log")}
	ports := make([]int, 4)
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	at := func(i int) string { return ip + ":" + strconv.Itoa(ports[i]) }
	g.frontend, g.ready = at(0), at(1)
	g.values = map[string]any{
		"node_name": name, "zone": "esgueira", "region": "centro", "ip": ip,
		"zones":               map[string]any{"esgueira": "centro", "cacia": "centro", "ilhavo": "centro"},
		"contracts":           []any{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"},
		"limits":              map[string]any{"memory_mb": 284, "link_mbps": 1000.0},
		"listen_addrs":        map[string]any{"frontend": at(0), "readiness": at(1), "registry": at(2)},
		"internal_port_range": []any{ports[3], ports[3]},
		"platform":            map[string]any{"address": string(w.store.Address())},
		"bounds":              bounds,
	}
	if err := g.writeSettings(); err != nil {
		return nil, err
	}
	log, err := os.Create(g.log)
	if err != nil {
		return nil, err
	}
	g.command = exec.Command("target/graniteknot", "gateway")
	g.command.Env = append(os.Environ(), platform.SettingsVariable+"="+g.settings)
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return nil, err
	}
	g.exited = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		w.note("gateway %s has ended: %s", name, g.command.ProcessState)
		close(g.exited)
	}()
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	w.note("gateway %s started at %s, bounds %v", name, g.frontend, bounds)
	for range 100 {
		if g.isReady() {
			return g, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("the gateway does not get ready")
}

// isReady asks the gateway's readiness address, as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + platform.Dialect{}.ReadyPath())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logged waits until the gateway's log has a word behind what it had before.
func (g *gateway) logged(word string, from int, wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if text, _ := os.ReadFile(g.log); len(text) > from && strings.Contains(string(text[from:]), word) {
			return true
		}
	}
	return false
}

func (g *gateway) logSize() int {
	text, _ := os.ReadFile(g.log)
	return len(text)
}

// change writes changed bounds into the settings file and sends SIGHUP, as the platform does.
func (w *world) change(g *gateway, bounds map[string]any) error {
	g.values["bounds"] = bounds
	before := g.logSize()
	if err := g.writeSettings(); err != nil {
		return err
	}
	if err := g.command.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	w.note("platform: settings of %s changed, SIGHUP, bounds %v", g.name, bounds)
	if !g.logged("reloaded", before, 8*time.Second) {
		return errors.New("the gateway does not reload its settings")
	}
	text, _ := os.ReadFile(g.log)
	for _, line := range strings.Split(string(text[before:]), "\n") {
		if strings.Contains(line, "reloaded") {
			w.note("gateway %s logs %s", g.name, line)
		}
	}
	return nil
}

var gap = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// writeSettings fills the template of the deploy file, as the platform does, and puts it in place whole.
func (g *gateway) writeSettings() error {
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	missing := ""
	text := gap.ReplaceAllStringFunc(string(template), func(word string) string {
		value := any(g.values)
		for _, name := range strings.Split(strings.Trim(word, "{}"), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []any:
				i, _ := strconv.Atoi(name)
				value = v[i]
			}
		}
		switch v := value.(type) {
		case nil:
			missing = word
			return ""
		case []any:
			list := make([]string, len(v))
			for i := range v {
				list[i] = fmt.Sprint(v[i])
			}
			return strings.Join(list, ",")
		case map[string]any:
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(value)
	})
	if missing != "" {
		return fmt.Errorf("no value for %s", missing)
	}
	if err := os.WriteFile(g.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(g.settings+".new", g.settings)
}
