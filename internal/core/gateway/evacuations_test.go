package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/standin/keyed"
	"graniteknot.org/go/platform/platformtest"
)

const (
	evacuatedZone graniteknot.AvailabilityZone = "north"
	// evacuationBound is how long after its writing callers rely on an evacuation.
	evacuationBound = 5 * time.Second
)

// TestEvacuatedZoneGetsNoRequests sends requests while a zone is evacuated, taken back, and
// evacuated when the gateway starts.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	d := &deployment{store: &keyed.Store{}, keys: []string{"k"}}
	d.put()
	north, south := newReplica(t, "i-north"), newReplica(t, "i-south")
	d.store.Put(graniteknot.TopicReplicas, north.ID, platformtest.RecordInZone("s", north.Address(), evacuatedZone))
	d.store.Put(graniteknot.TopicReplicas, south.ID, platformtest.RecordInZone("s", south.Address(), "south"))
	key := platformtest.EvacuationKey(evacuatedZone)
	d.store.Put(graniteknot.TopicSettings, key, []byte("{}"))
	b := start(t, d.store, nil)
	defer b.stop()
	ask := func() {
		t.Helper()
		for range 20 {
			if a := b.ask("/repeat/x", "k"); a.status != http.StatusOK {
				t.Fatalf("status %d", a.status)
			}
		}
	}
	ask()
	if n := len(north.Arrivals()); n > 0 {
		t.Errorf("%d requests reached an evacuated zone after a start", n)
	}
	d.store.Put(graniteknot.TopicSettings, key, nil)
	eventually(t, "the zone is used again", func() bool { ask(); return len(north.Arrivals()) > 0 })
	d.store.Put(graniteknot.TopicSettings, key, []byte("{}"))
	eventually(t, "the evacuation is known", func() bool { s := b.Evacuations.State(); return s.Contains(evacuatedZone) })
	before := len(north.Arrivals())
	ask()
	if n := len(north.Arrivals()) - before; n > 0 {
		t.Errorf("%d requests reached an evacuated zone", n)
	}
	d.store.Put(graniteknot.TopicSettings, platformtest.EvacuationKey("south"), []byte("{}"))
	eventually(t, "both are evacuated", func() bool { s := b.Evacuations.State(); return len(s.Zones) == 2 })
	if a := b.ask("/once/x", "k"); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("with all zones evacuated: status %d, headers %v", a.status, a.header)
	}
}

// TestEvacuationsAreInForceInTimeThoughReadersAreTurnedAway evacuates a zone and takes it back in
// turn while the store turns away the first gateways that read for all.
func TestEvacuationsAreInForceInTimeThoughReadersAreTurnedAway(t *testing.T) {
	notUnderRace(t)
	for name, c := range map[string]struct {
		boxes, away int
		how         access
	}{
		"9 boxes, one unanswered":       {9, 1, accessSilent},
		"40 boxes, 3 unanswered":        {40, 3, accessSilent},
		"40 boxes, the first refused":   {40, 1, accessRefused},
		"40 boxes, 3 that are cut off":  {40, 3, accessReset},
		"40 boxes, all are unanswered":  {40, 40, accessSilent},
		"15 boxes, one read that hangs": {15, 1, accessHung},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVirtualFleet(t, c.boxes, nil)
				defer f.stop()
				time.Sleep(3 * time.Second)
				e := watchEvacuations(f)
				e.toggle(2, time.Second)
				e.turnAway(c.away, c.how)
				e.toggle(6, time.Second)
				e.turnAway(c.away, accessOpen)
				e.toggle(3, time.Second)
				e.pass(4 * time.Second)
				e.check(t)
				for _, b := range f.boxes {
					if s := b.Evacuations.State(); !s.Contains(evacuatedZone) {
						t.Errorf("%s does not know that the zone is evacuated: %+v", b.config.Box, s)
					}
				}
			})
		})
	}
}

// evacuations watches when evacuations come into force.
type evacuations struct {
	*lags

	// ends are the positions after each change.
	ends []graniteknot.Position
}

func watchEvacuations(f *virtualFleet) *evacuations {
	e := &evacuations{lags: &lags{fleet: f, written: make([]time.Time, 1), reached: map[*virtualBox]int{}, aim: evacuationBound}}
	e.progress = func(b *virtualBox) int {
		s := b.Evacuations.State()
		n, found := slices.BinarySearch(e.ends, s.Through)
		if found {
			n++
		}
		return n
	}
	return e
}

// toggle evacuates the zone, or takes it back, a number of times, one each pause.
func (e *evacuations) toggle(times int, pause time.Duration) {
	for range times {
		var value []byte
		if len(e.ends)%2 == 0 {
			value = []byte(strconv.Itoa(len(e.ends)))
		}
		at := e.fleet.store.Put(graniteknot.TopicSettings, platformtest.EvacuationKey(evacuatedZone), value)
		e.ends = append(e.ends, at+1)
		e.written = append(e.written, time.Now())
		e.pass(pause)
	}
}
