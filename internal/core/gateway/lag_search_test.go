package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/platform/platformtest"
)

// trouble is a fault of a drawn play, from begin to end after the play's start.
type trouble struct {
	kind       troubleKind
	box        *virtualBox
	begin, end time.Duration
	on, over   bool
}

type troubleKind int

// The kinds of trouble. The first ones leave the box's datagrams alone.
const (
	troubleSilent troubleKind = iota
	troubleRefused
	troubleReset
	troubleHung
	troubleSuspended
	troubleKilled
	troubleCutIn
	troubleCutOut
	troubleFrozen
	troubleSlowStore
	troubleStoreAway
	troubleKinds
)

var troubleNames = [troubleKinds]string{"silent", "refused", "reset", "hung", "suspended", "killed", "cut in", "cut out", "frozen", "slow store", "store away"}

func (x *trouble) String() string {
	box := "all"
	if x.box != nil {
		box = string(x.box.config.Box)
	}
	return fmt.Sprintf("%s %s %v to %v", troubleNames[x.kind], box, x.begin, x.end)
}

// during tells whether the trouble lasts at some moment of a span.
func (x *trouble) during(from, to time.Duration) bool { return x.begin < to && from < x.end }

// play is a drawn play of versions in series and troubles.
type play struct {
	*lags

	t        *testing.T
	random   *rand.Rand
	began    time.Time
	troubles []*trouble
	length   time.Duration
	// change writes the next change; bound is how long it may take to be known.
	change func()
	bound  time.Duration
	// answered has only those judged that the store answers.
	answered bool
}

const (
	playLength = 20 * time.Second
	// undisturbed is how long before a version is written a box must not have been disturbed, for
	// its lag to be judged.
	undisturbed = time.Second
)

// drawPlay draws the faults of a play: the readers first, since these are who others go by.
func drawPlay(t *testing.T, f *virtualFleet, seed uint64) *play {
	t.Helper()
	p := &play{lags: watchLags(f), t: t, random: rand.New(rand.NewPCG(seed, 1)), length: playLength, bound: versionAim}
	p.change = func() { f.write("k" + strconv.Itoa(f.version+1)) }
	order := f.inOrder()
	for range 2 + p.random.IntN(8) {
		x := &trouble{kind: troubleKind(p.random.IntN(int(troubleKinds)))}
		x.begin = time.Duration(p.random.Int64N(int64(14 * time.Second)))
		x.end = x.begin + time.Duration(float64(time.Second)*(0.3+6*p.random.Float64()))
		if x.kind != troubleSlowStore && x.kind != troubleStoreAway {
			at := p.random.IntN(len(order))
			if p.random.IntN(4) > 0 {
				at = p.random.IntN(min(6, len(order)))
			}
			x.box = order[at]
		}
		p.troubles = append(p.troubles, x)
	}
	return p
}

// run plays it. Versions are written in series, with pauses of calm now and then.
func (p *play) run() {
	p.began = time.Now()
	p.each = p.act
	for time.Since(p.began) < p.length {
		p.change()
		p.written = append(p.written, time.Now())
		pause := 40*time.Millisecond + time.Duration(p.random.Int64N(int64(400*time.Millisecond)))
		if p.random.IntN(8) == 0 {
			pause = time.Duration(p.random.Int64N(int64(3 * time.Second)))
		}
		p.pass(pause)
	}
	p.pass(5 * time.Second)
}

// act begins and ends the troubles that are due.
func (p *play) act() {
	now := time.Since(p.began)
	for _, x := range p.troubles {
		if !x.on && !x.over && now >= x.begin {
			x.on = true
			p.set(x, true)
		}
		if x.on && now >= x.end {
			x.on, x.over = false, true
			p.set(x, false)
		}
	}
}

// set begins or ends a trouble.
func (p *play) set(x *trouble, on bool) {
	if x.kind == troubleSuspended && !on {
		x.box.clock.add(x.end - x.begin)
	}
	if x.kind == troubleKilled {
		p.kill(x.box, on)
	}
	for _, b := range p.fleet.boxes {
		b.way.set(p.accessOf(b))
		b.way.slow(p.on(nil, troubleSlowStore))
	}
	for _, a := range p.fleet.boxes {
		for _, b := range p.fleet.boxes {
			cut := p.on(a, troubleCutOut, troubleFrozen, troubleSuspended) || p.on(b, troubleCutIn, troubleFrozen, troubleSuspended)
			p.fleet.net.Cut(a.ip(), b.ip(), cut && a != b)
		}
	}
}

// on tells whether a trouble of some kinds is on at a box; nil for all boxes.
func (p *play) on(b *virtualBox, kinds ...troubleKind) bool {
	return slices.ContainsFunc(p.troubles, func(x *trouble) bool { return x.on && x.box == b && slices.Contains(kinds, x.kind) })
}

// kill ends a box's process or begins its next life.
func (p *play) kill(b *virtualBox, on bool) {
	switch {
	case on && !b.down:
		b.down = true
		b.kill()
	case !on && b.down && !p.on(b, troubleKilled):
		b.down = false
		p.fleet.start(b)
		delete(p.reached, b)
	}
}

// accessOf is what a box gets of the store.
func (p *play) accessOf(b *virtualBox) access {
	switch {
	case p.on(b, troubleSilent, troubleFrozen, troubleSuspended), p.on(nil, troubleStoreAway):
		return accessSilent
	case p.on(b, troubleRefused):
		return accessRefused
	case p.on(b, troubleReset):
		return accessReset
	case p.on(b, troubleHung):
		return accessHung
	}
	return accessOpen
}

// sound tells whether a box's datagrams and process are not disturbed during a span; open tells
// whether the store answers it besides.
func (p *play) sound(b *virtualBox, from, to time.Duration) (sound, open bool) {
	sound, open = true, true
	for _, x := range p.troubles {
		if x.box != nil && x.box != b || !x.during(from, to) {
			continue
		}
		open = false
		if x.box == b && x.kind >= troubleSuspended {
			sound = false
		}
	}
	return sound, sound && open
}

// judge returns the worst lag of a version at a sound box while another sound one reads the
// store, with what it was.
func (p *play) judge() (time.Duration, string) {
	var worst time.Duration
	var what string
	for _, s := range p.seen {
		at := s.written.Sub(p.began)
		from, to := at-undisturbed, at+max(s.lag, p.bound)
		sound, open := p.sound(s.box, from, to)
		if !sound || p.answered && !open || s.lag <= worst || !p.anyOpen(from, to) {
			continue
		}
		worst, what = s.lag, fmt.Sprintf("%s, written at %v", s.box.config.Box, at)
	}
	return worst, what
}

func (p *play) anyOpen(from, to time.Duration) bool {
	for _, b := range p.fleet.boxes {
		if _, open := p.sound(b, from, to); open {
			return true
		}
	}
	return false
}

// TestNoVersionIsLateUnderAnyFaults draws troubles of the store, of readers and of others, several
// at a time, while versions are written in series: a box that is not disturbed itself has each
// version in time as long as one other box reads the store.
func TestNoVersionIsLateUnderAnyFaults(t *testing.T) { searchLags(t, func(*play) {}) }

// TestNoLeavingReplicaIsKnownLateUnderAnyFaults does the same with replicas whose records say one
// after the other that they leave, at boxes that the store answers.
func TestNoLeavingReplicaIsKnownLateUnderAnyFaults(t *testing.T) {
	searchLags(t, func(p *play) {
		const replicas = 200
		put := func(i int, leaves bool) {
			address := graniteknot.Address(fmt.Sprintf("10.200.0.%d:80", i))
			p.fleet.store.Put(graniteknot.TopicReplicas, fmt.Sprintf("i-%d", i), platformtest.Record("s", address, leaves))
		}
		for i := range replicas {
			put(i, false)
		}
		time.Sleep(3 * time.Second)
		left := 0
		p.change = func() {
			put(left, true)
			left++
		}
		p.written, p.bound, p.answered = make([]time.Time, 1), p.fleet.boxes[0].config.Drain, true
		p.progress = func(b *virtualBox) int {
			all, usable := b.Fleet.Count("s", b.Clock.Now())
			return all - usable
		}
	})
}

// searchLags draws plays and demands that no change is known late or forgotten.
func searchLags(t *testing.T, prepare func(*play)) {
	t.Helper()
	notUnderRace(t)
	plays := 24
	if n, err := strconv.Atoi(os.Getenv("GRANITEKNOT_HISTORIES")); err == nil {
		plays = n
	}
	sizes := []int{3, 9, 13, 20, 45}
	for seed := range plays {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, sizes[seed%len(sizes)], nil)
				defer f.stop()
				time.Sleep(3 * time.Second)
				p := drawPlay(t, f, uint64(seed))
				prepare(p)
				p.run()
				worst, what := p.judge()
				t.Logf("%d boxes: worst %v at %s", len(f.boxes), worst, what)
				if worst > p.bound {
					t.Errorf("%d boxes, %s: %v late, %v may be; %s", len(f.boxes), what, worst, p.bound, strings.ReplaceAll(fmt.Sprint(p.troubles), " to ", "-"))
				}
				if p.back > 0 {
					t.Errorf("what was known went back %d times", p.back)
				}
			})
		})
	}
}
