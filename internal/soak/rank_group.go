package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/internal/standin/obeying"
	"graniteknot.org/go/planner"
	"graniteknot.org/go/platform/platformtest"
)

const (
	// loadShiftInterval is how often the demand for experts changes.
	loadShiftInterval = 800 * time.Millisecond
	// groupFormTime is the longest time until sidecars switch the first map.
	groupFormTime = 30 * time.Second
	// maxPause bounds the pauses of a sidecar on a busy machine, which are shorter than a coordinator's
	// timeout mostly.
	maxPause = 700 * time.Millisecond
	// maxStand bounds how long a group may be kept from a step: as long as a process is frozen, and a
	// new coordinator needs.
	maxStand = maxFaultDuration + startTime + slack
	// ranksPerPause is how many ranks there are for each sidecar that is paused.
	ranksPerPause = 16
	// groupStream is the first random stream of runs with groups.
	groupStream = 500
)

// GroupOptions configure a run of a lock-step group with its sidecars.
type GroupOptions struct {
	// Binary is the path of the program, Dir the directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	Ranks       int
	// PassTime is the duration of a step.
	PassTime time.Duration
	// Faults is the number of faults in Span, besides many short pauses.
	Faults int
	Span   time.Duration
	// LateShare of the calls to ranks are carried out late, and as many are answered late.
	LateShare float64
	// PauseShare of the orders that a rank carries out pause its sidecar before it can answer.
	PauseShare float64
	// Busy is the number of goroutines that keep processors busy.
	Busy int
	// Say is called for each fault; nil for no reports.
	Say func(string)
}

// GroupResult is the outcome of a run of a group.
type GroupResult struct {
	Steps graniteknot.Step
	// Maps counts the maps that came into force, Longest is the longest time that the group was kept
	// from a step.
	Maps     int
	Longest  time.Duration
	Findings []Finding
}

// rankGroup is a lock-step group with the sidecars of its ranks.
type rankGroup struct {
	options  *GroupOptions
	store    *platformtest.Store
	ranks    *obeying.Group
	servers  []*platformtest.RankServer
	sidecars []*process
	running  group.Group

	mu     sync.Mutex
	random *rand.Rand
	// late makes calls to ranks late; slowOrders answer orders late, by rank.
	late       bool
	slowOrders map[int]int
}

// RunGroup runs one seed of a group.
func RunGroup(ctx context.Context, o GroupOptions) (*GroupResult, error) {
	shape := planner.Shape{Layers: 4, Experts: 3 * o.Ranks, Ranks: o.Ranks, Slots: 5}
	g := &rankGroup{options: &o, store: platformtest.NewStore(), ranks: obeying.New(shape, o.Seed), random: rand.New(rand.NewPCG(o.Seed, groupStream)), slowOrders: map[int]int{}}
	g.ranks.Load = 20 * time.Millisecond
	defer g.close()
	g.store.Records.Put(graniteknot.TopicSettings, "config", platformtest.GroupConfig(1, host, service, shape))
	for r := range o.Ranks {
		if err := g.startRank(ctx, r, shape); err != nil {
			return nil, err
		}
	}
	g.running.Go(func(ctx context.Context) { g.ranks.Run(ctx, o.PassTime) })
	shifts := rand.New(rand.NewPCG(o.Seed, groupStream+1))
	g.running.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			g.ranks.Like(drawLoads(shape, shifts))
			wait(ctx, loadShiftInterval)
		}
	})
	for range o.Busy {
		g.running.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				burn()
			}
		})
	}
	var findings []Finding
	if !g.changesMap(ctx) {
		return nil, fmt.Errorf("no map came into force within %v", groupFormTime)
	}
	maps := g.inject(ctx)
	g.setLate(false)
	if !g.changesMap(ctx) {
		findings = append(findings, Finding{"maps go on changing", "-", fmt.Sprintf("none within %v of the last fault", groupFormTime)})
	}
	shown := g.ranks.Show()
	if shown.Apart > 0 {
		findings = append(findings, Finding{"one map in a step", "-", fmt.Sprintf("%d steps began with two maps, the first: %s", shown.Apart, shown.FirstApart)})
	}
	if shown.Longest > maxStand {
		findings = append(findings, Finding{"a group goes on", "-", fmt.Sprintf("kept from a step for %v", shown.Longest)})
	}
	return &GroupResult{Steps: shown.Step, Maps: maps, Longest: shown.Longest, Findings: findings}, nil
}

// burn keeps a processor busy for a moment.
func burn() {
	const rounds = 1 << 20
	x := uint64(1)
	for range rounds {
		x ^= x << 7
		x ^= x >> 9
	}
	if x == 0 {
		time.Sleep(time.Nanosecond)
	}
}

// drawLoads draws a Zipf-distributed demand for experts.
func drawLoads(s planner.Shape, random *rand.Rand) planner.Loads {
	const most = 1000
	loads := planner.NewLoads(s)
	for l := range loads {
		for i, e := range random.Perm(s.Experts) {
			loads[l][e] = float64(most / (i + 1))
		}
	}
	return loads
}

// startRank serves a rank and starts its sidecar.
func (g *rankGroup) startRank(ctx context.Context, r int, s planner.Shape) error {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 2+pid%60, (pid/60)%250+1, r+1)
	target := graniteknot.Address(ip + ":18010")
	server, err := platformtest.ServeRank(ctx, target, g.ranks.Rank(graniteknot.Rank(r)), s, func(order bool) (call, answer time.Duration) { return g.delay(r, order) })
	if err != nil {
		return err
	}
	g.servers = append(g.servers, server)
	way, err := newProxy(ctx, g.store.Address())
	if err != nil {
		return err
	}
	p := &process{
		role: "sidecar", box: graniteknot.BoxName(ip), proxy: way, binary: g.options.Binary, settings: filepath.Join(g.options.Dir, ip+".ini"),
	}
	g.sidecars = append(g.sidecars, p)
	text := fmt.Sprintf(`[process]
role = sidecar
box = %[1]s
zone = z
stop_bound = %[2]s
[listen]
peers = %[1]s:18004
[store]
address = %[3]s
[target]
address = %[4]s
service = %[5]s
[bounds]
fences_checked = true
`, ip, stopBound, way.address(), target, service)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return p.start(g.options.Dir)
}

// delay draws how late a call to a rank is carried out and answered.
func (g *rankGroup) delay(rank int, order bool) (call, answer time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if order && g.slowOrders[rank] > 0 {
		return 0, maxPause/2 + time.Duration(g.random.Int64N(int64(maxPause/2)))
	}
	if order && g.late && g.random.Float64() < g.options.PauseShare {
		g.pauseSidecar(rank, time.Duration(g.random.Int64N(int64(maxPause))))
	}
	if !g.late {
		return 0, 0
	}
	if g.random.Float64() < g.options.LateShare {
		call = time.Duration(g.random.Int64N(int64(maxPause)))
	}
	if g.random.Float64() < g.options.LateShare {
		answer = time.Duration(g.random.Int64N(int64(maxPause)))
	}
	return call, answer
}

// pauseSidecar stops a rank's sidecar for a time, which it may be at any point of a call.
func (g *rankGroup) pauseSidecar(rank int, d time.Duration) {
	g.running.Go(func(ctx context.Context) {
		g.sidecars[rank].signal(syscall.SIGSTOP, 0)
		wait(ctx, d)
		g.sidecars[rank].signal(syscall.SIGCONT, 0)
	})
}

// slowOrder begins or ends that a rank answers orders late.
func (g *rankGroup) slowOrder(rank, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowOrders[rank] += change
}

func (g *rankGroup) setLate(late bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = late
}

// changesMap waits until another map comes into force.
func (g *rankGroup) changesMap(ctx context.Context) bool {
	before := g.ranks.Show().Mappings[0]
	for began := time.Now(); time.Since(began) < groupFormTime && ctx.Err() == nil; {
		wait(ctx, g.options.PassTime)
		if now := g.ranks.Show().Mappings[0]; now != before && now != 0 {
			return true
		}
	}
	return false
}

// inject injects the faults and returns how many maps came into force meanwhile.
func (g *rankGroup) inject(ctx context.Context) int {
	g.setLate(true)
	counting, stop := context.WithCancel(ctx)
	var counter group.Group
	maps := 0
	counter.Go(func(context.Context) {
		last := g.ranks.Show().Mappings[0]
		for counting.Err() == nil {
			wait(counting, g.options.PassTime)
			if now := g.ranks.Show().Mappings[0]; now != last {
				maps, last = maps+1, now
			}
		}
	})
	random := rand.New(rand.NewPCG(g.options.Seed, groupStream+2))
	for i := range max(1, len(g.sidecars)/ranksPerPause) {
		pauses := rand.New(rand.NewPCG(g.options.Seed, groupStream+3+uint64(i)))
		counter.Go(func(context.Context) { g.pauseSidecars(counting, pauses) })
	}
	var faults []fault
	for range g.options.Faults {
		f := g.draw(random)
		f.at = time.Duration(random.Int64N(int64(g.options.Span)))
		faults = append(faults, f)
	}
	slices.SortFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	injectFaults(ctx, &Options{Span: g.options.Span, Say: g.options.Say}, faults)
	stop()
	counter.Wait()
	return maps
}

// pauseSidecars stops one sidecar after the other for a moment, as a machine does that has more to run
// than processors.
func (g *rankGroup) pauseSidecars(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		p := g.sidecars[random.IntN(len(g.sidecars))]
		p.signal(syscall.SIGSTOP, 0)
		wait(ctx, drawPause(random))
		p.signal(syscall.SIGCONT, 0)
		wait(ctx, drawPause(random))
	}
}

// drawPause draws a pause; most are short.
func drawPause(random *rand.Rand) time.Duration {
	x := random.Float64()
	return time.Duration(x * x * x * float64(maxPause))
}

// draw draws a fault of the group's processes or of what they rely on.
func (g *rankGroup) draw(random *rand.Rand) fault {
	i := random.IntN(len(g.sidecars))
	p := g.sidecars[i]
	duration := time.Second + time.Duration(random.Int64N(int64(maxFaultDuration-time.Second)))
	on := func(what string) string { return fmt.Sprintf("%s sidecar %d", what, i) }
	switch random.IntN(12) {
	case 9, 10, 11:
		return fault{name: on("slow answers to orders at the rank of"), begin: func() { g.slowOrder(i, 1) }, end: func() { g.slowOrder(i, -1) }, duration: duration}
	case 0, 1, 2:
		// The first ranks are the coordinators most often.
		first := g.sidecars[random.IntN(min(3, len(g.sidecars)))]
		return fault{name: "kill a first sidecar", begin: func() { first.signal(syscall.SIGKILL, startTime) }}
	case 3:
		return fault{name: on("kill"), begin: func() { p.signal(syscall.SIGKILL, startTime) }}
	case 4:
		return fault{name: on("stop"), begin: func() { p.signal(syscall.SIGTERM, 0) }}
	case 5:
		return fault{
			name: on("freeze"), begin: func() { p.signal(syscall.SIGSTOP, duration) },
			end: func() { p.signal(syscall.SIGCONT, 0) }, duration: duration,
		}
	case 6:
		return fault{name: "the group forms anew", begin: g.ranks.Break}
	case 7:
		mode := proxyMode(1 + random.IntN(3))
		return fault{name: on(fmt.Sprint("way to the store ", mode, " of")), begin: func() { p.proxy.set(mode) }, end: func() { p.proxy.set(proxyPass) }, duration: duration}
	default:
		kind := []keyed.Fault{keyed.FaultSilent, keyed.FaultRefuse, keyed.FaultLose}[random.IntN(3)]
		return fault{
			name: fmt.Sprint("store ", kind), begin: func() { g.store.Records.Set(kind) },
			end: func() { g.store.Records.Set(keyed.FaultNone) }, duration: duration,
		}
	}
}

func (g *rankGroup) close() {
	g.running.Stop()
	for _, p := range g.sidecars {
		p.close()
	}
	for _, s := range g.servers {
		s.Close()
	}
	g.ranks.Wait()
	g.store.Close()
}
