package gateway_test

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// lags watches when versions come into force.
type lags struct {
	fleet *virtualFleet
	// written is when each version was; the index is the version.
	written []time.Time
	// reached is the highest version that each box was seen with.
	reached map[*virtualBox]int
	// all are the lags of all versions at all boxes; one that a box skipped counts as the next.
	all []time.Duration
	// seen are the same with where and when.
	seen []lag
	// back counts the versions that a box went back.
	back int
	// each is called before each look; nil for nothing.
	each func()
	// progress is how many of what was written a box knows; nil for the version in force.
	progress func(*virtualBox) int
	// aim is how long a change may take at most; 0 is versionAim.
	aim time.Duration
	// callers use the key of each version once it has to be in force; refused counts those
	// that are told that it is unknown.
	callers sync.WaitGroup
	refused atomic.Int32
}

// lag is how long after its writing a version was seen in force at a box.
type lag struct {
	box     *virtualBox
	written time.Time
	lag     time.Duration
}

const lagLook = 20 * time.Millisecond

func watchLags(f *virtualFleet) *lags {
	return &lags{fleet: f, written: make([]time.Time, f.version+1), reached: map[*virtualBox]int{}}
}

// write writes the next version.
func (l *lags) write() {
	key := "k" + strconv.Itoa(l.fleet.version+1)
	l.fleet.write(key)
	l.written = append(l.written, time.Now())
	for _, b := range l.fleet.boxes {
		if !b.away.Load() {
			l.callers.Go(func() { l.call(b, key) })
		}
	}
}

// call uses a key as soon as its version has to be in force at a box.
func (l *lags) call(b *virtualBox, key string) {
	time.Sleep(versionBound)
	if !b.away.Load() && l.fleet.ask(b, key) == http.StatusUnauthorized {
		l.refused.Add(1)
	}
}

// look notes which versions are in force.
func (l *lags) look() {
	now := time.Now()
	for _, b := range l.fleet.boxes {
		if b.down {
			continue
		}
		version := l.known(b)
		if version < l.reached[b] {
			l.back++
		}
		if _, known := l.reached[b]; !known {
			l.reached[b] = version
		}
		for v := l.reached[b] + 1; v <= version; v++ {
			if v < len(l.written) && !l.written[v].IsZero() && !b.away.Load() {
				l.all = append(l.all, now.Sub(l.written[v]))
				l.seen = append(l.seen, lag{b, l.written[v], now.Sub(l.written[v])})
			}
		}
		l.reached[b] = max(version, l.reached[b])
	}
}

// known is how far a box has come.
func (l *lags) known(b *virtualBox) int {
	if l.progress != nil {
		return l.progress(b)
	}
	return b.inForce()
}

// pass lets virtual time pass and looks.
func (l *lags) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(lagLook)
		if l.each != nil {
			l.each()
		}
		l.look()
	}
}

// series writes versions, one each pause, for a time.
func (l *lags) series(d, pause time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		l.write()
		l.pass(pause)
	}
}

// quantile returns a quantile of the lags.
func (l *lags) quantile(q float64) time.Duration {
	if len(l.all) == 0 {
		return 0
	}
	slices.Sort(l.all)
	return l.all[min(len(l.all)-1, int(q*float64(len(l.all))))]
}

// TestVersionsAreInForceInTimeThoughReadersAreTurnedAway has versions written in series while the
// store turns away the first gateways that read for all.
func TestVersionsAreInForceInTimeThoughReadersAreTurnedAway(t *testing.T) {
	notUnderRace(t)
	for name, c := range map[string]struct {
		boxes, away int
		how         access
		pause       time.Duration
	}{
		"15 boxes, 3 unanswered":                  {15, 3, accessSilent, 40 * time.Millisecond},
		"40 boxes, 3 unanswered":                  {40, 3, accessSilent, 250 * time.Millisecond},
		"40 boxes, the first unanswered":          {40, 1, accessSilent, 250 * time.Millisecond},
		"40 boxes, the first refused":             {40, 1, accessRefused, 250 * time.Millisecond},
		"40 boxes, the first three are cut short": {40, 3, accessReset, 250 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, c.boxes, nil)
				defer f.stop()
				time.Sleep(3 * time.Second)
				l := watchLags(f)
				l.series(time.Second, c.pause)
				l.turnAway(c.away, c.how)
				l.series(8*time.Second, c.pause)
				l.turnAway(c.away, accessOpen)
				l.series(2*time.Second, c.pause)
				l.pass(4 * time.Second)
				l.check(t)
			})
		})
	}
}

// TestLargeVersionsInSeriesAreTakenWhole has versions with many routes written faster than one is
// taken from another gateway, by many at once.
func TestLargeVersionsInSeriesAreTakenWhole(t *testing.T) {
	notUnderRace(t)
	// One gateway reads the settings each 0.2 s and the replicas each 1.35 s.
	const mostCalls = 48
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(t, 20, nil)
		defer f.stop()
		f.routes = 1640
		time.Sleep(3 * time.Second)
		l := watchLags(f)
		before := f.calls()
		l.series(8*time.Second, 60*time.Millisecond)
		if calls := f.calls() - before; calls > mostCalls {
			t.Errorf("%d calls to the store, %d by one that reads for all", calls, mostCalls)
		}
		l.pass(4 * time.Second)
		l.check(t)
	})
}

// turnAway sets what the first readers get of the store.
func (l *lags) turnAway(n int, how access) {
	for _, b := range l.fleet.inOrder()[:n] {
		b.way.set(how)
		b.away.Store(true)
	}
}

// check demands that versions came into force in time and none went back.
func (l *lags) check(t *testing.T) {
	t.Helper()
	l.callers.Wait()
	t.Logf("behind: median %v, 99 in 100 %v, most %v", l.quantile(0.5), l.quantile(0.99), l.quantile(1))
	aim := cmp.Or(l.aim, versionAim)
	if most := l.quantile(1); most > aim {
		t.Errorf("a version came into force %v after it was written, %v may be", most, aim)
	}
	if refused := l.refused.Load(); refused > 0 {
		t.Errorf("%d requests are told that their key is unknown, %v after its version was written", refused, versionBound)
	}
	if l.back > 0 {
		t.Errorf("versions went back %d times", l.back)
	}
}

const (
	// versionBound is how long after its writing callers rely on a version.
	versionBound = 3 * time.Second
	// versionAim is how long it may take at most to come into force.
	versionAim = 2 * time.Second
)

// notUnderRace passes plays of whole fleets over in the short run, which is the race detector's:
// its runtime crashes in bubbles with very many timers (Go 1.26.8).
func notUnderRace(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("plays of whole fleets are run by make test")
	}
}
