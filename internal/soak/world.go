package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/platform/platformtest"
)

// The settings that the bounds refer to.
const (
	keyAge    = 5 * time.Second
	drainTime = 2 * time.Second
	// startTime is the longest time until a started process serves.
	startTime = 5 * time.Second
	// slack is added to bounds to allow for a busy machine.
	slack = 8 * time.Second
)

const (
	host    = "h.example"
	service = "s"
	// workTime is how long a replica takes to run a request.
	workTime = 30 * time.Millisecond
)

// world is the environment of the gateways: the store, the replicas and the accounts' keys.
type world struct {
	store *platformtest.Store

	mu      sync.Mutex
	version int
	// routes is the number of additional routes in the configuration.
	routes   int
	born     int
	replicas []*replica
	// all holds all lives of all replicas, including those that have ended.
	all  []*replica
	keys []*key
	// lives restarts replicas that have ended.
	lives group.Group
	// feedback holds what replicas stated in responses.
	feedback []feedback
	// statedLimits holds when replicas stated limits.
	statedLimits []*statedLimit
	// probes holds the calls that checked whether gateways serve.
	probes []*call
	// zones are assigned to new replicas in turn.
	zones []graniteknot.AvailabilityZone
	// evacuations holds all evacuations, in order.
	evacuations []*evacuation
	// coldStarts draws how long starting replicas are cold; nil if they start warm.
	coldStarts *rand.Rand
	// coldTimes holds when replicas were cold.
	coldTimes []*coldTime
	// streams plans streams; nil if there are none. streamCalls holds what their callers received.
	streams     *streamPlans
	streamCalls []*streamCall
}

// replica is one life of a replica.
type replica struct {
	*platformtest.Replica
	// leaving is when the store accepted the record that states that it leaves; zero before.
	leaving time.Time
	// born distinguishes lives with the same ID.
	born graniteknot.Born
	zone graniteknot.AvailabilityZone
	// cold is the latest period in which it was cold; nil if there was none.
	cold atomic.Pointer[coldTime]
	// endlessBodies is when it began to send bodies without end.
	endlessBodies []time.Time
	// streams plans its responses to requests for streams; nil for none.
	streams *streamPlans
}

// record returns the replica's current record.
func (s *replica) record(draining bool) []byte {
	return platformtest.ReplicaRecord{
		Service: service, Address: s.Address(), Zone: s.zone, Draining: draining, Born: s.born, Warmup: s.cold.Load().left(),
	}.JSON()
}

// key is a key of the account.
type key struct {
	text string
	// removed is when the store accepted the configuration without it; zero before.
	removed time.Time
	// added is when the store accepted the first configuration with it; zero for the initial keys.
	added time.Time
}

func newWorld(o *Options) (*world, error) {
	w := &world{store: platformtest.NewStore(), zones: []graniteknot.AvailabilityZone{"z"}}
	if o.Evacuations {
		w.zones = append(w.zones, []graniteknot.AvailabilityZone{"z-1", "z-2"}[:1+o.Seed%2]...)
	}
	if o.Cold {
		w.coldStarts = rand.New(rand.NewPCG(o.Seed, coldStream))
	}
	if o.Streams {
		w.streams = &streamPlans{seed: o.Seed, draw: drawStreamPlan, runs: map[string][]streamRun{}}
	}
	for range 2 {
		w.addKey()
	}
	for range o.Replicas {
		if err := w.addReplica(); err != nil {
			return nil, err
		}
	}
	w.configure()
	return w, nil
}

// work answers a request with a body that contains its ID, except those that crash replicas.
func (s *replica) work(x *platformtest.Exchange) {
	if string(x.Body) == crashBody || platformtest.HasPromptPart(x.Request, crashPart) {
		platformtest.Crash(x)
		return
	}
	if s.streams.takes(x) {
		s.streams.serve(s, x)
		return
	}
	x.Run()
	time.Sleep(workTime)
	id := platformtest.RequestID(x.Request)
	body := answerTo(id)
	x.Head(http.StatusOK, len(body), append(s.cold.Load().headers(id), platformtest.Seal)...)
	x.Write(body)
}

// answerTo returns the only correct response body to a request.
func answerTo(id string) string { return "answer to " + id }

// failEveryThird loses, refuses or fails every third request.
func (s *replica) failEveryThird() platformtest.Script {
	var mu sync.Mutex
	n := 0
	bad := []platformtest.Script{platformtest.Lose, platformtest.NotRun(http.StatusServiceUnavailable), platformtest.Fail(http.StatusInternalServerError)}
	return func(x *platformtest.Exchange) {
		mu.Lock()
		n++
		turn := n
		mu.Unlock()
		if turn%3 == 0 {
			bad[turn/3%len(bad)](x)
			return
		}
		s.work(x)
	}
}

// addReplica registers a new replica.
func (w *world) addReplica() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	r, err := platformtest.NewReplica(fmt.Sprintf("i-%d", w.born))
	if err != nil {
		return err
	}
	s := &replica{Replica: r, born: 1, zone: w.zones[w.born%len(w.zones)], streams: w.streams}
	s.Always(s.work)
	w.startCold(s)
	w.replicas = append(w.replicas, s)
	w.all = append(w.all, s)
	w.put(r.ID, s.record(false))
	w.lives.Go(func(ctx context.Context) { w.restartWhenEnded(ctx, s, 1) })
	return nil
}

// put writes a replica's record, regardless of faults of the store that affect gateways.
func (w *world) put(id string, record []byte) {
	w.store.Records.Put(graniteknot.TopicReplicas, id, record)
}

// replace lets the oldest replica leave and adds a new one.
func (w *world) replace() error {
	if err := w.addReplica(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := w.replicas[0]
	w.replicas = w.replicas[1:]
	w.put(oldest.ID, oldest.record(true))
	oldest.leaving = time.Now()
	return nil
}

// replica returns a replica that is not leaving.
func (w *world) replica(i int) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[i%len(w.replicas)]
}

func (w *world) addKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(w.keys, &key{text: fmt.Sprintf("key-%d", len(w.keys))})
}

// configure writes a new version of the configuration with the valid keys.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putConfig()
}

// putConfig writes the current configuration. The caller holds the lock.
func (w *world) putConfig() {
	var keys []string
	for _, k := range w.keys {
		if k.removed.IsZero() {
			keys = append(keys, k.text)
		}
	}
	config := platformtest.ConfigOf(w.version, host, service, keys, w.routes)
	if w.coldStarts != nil {
		config = platformtest.WithWarmupRate(config, coldRate)
	}
	if w.streams != nil {
		config = platformtest.WithStreamOnce(config)
	}
	w.store.Records.Put(graniteknot.TopicSettings, "config", config)
}

// revoke removes the oldest key and adds a new one.
func (w *world) revoke() {
	w.addKey()
	w.mu.Lock()
	var taken *key
	for _, k := range w.keys {
		if k.removed.IsZero() {
			taken = k
			break
		}
	}
	taken.removed = time.Now()
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	taken.removed = time.Now()
	w.mu.Unlock()
}

// recentKeys is the number of newest keys that callers choose from; two are valid.
const recentKeys = 4

// key returns one of the newest keys, valid or not.
func (w *world) key(i int) *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.keys[max(0, len(w.keys)-recentKeys):]
	return last[i%len(last)]
}

// newestKey returns a valid key.
func (w *world) newestKey() *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// restoreReplicas lets all replicas answer normally again.
func (w *world) restoreReplicas() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.replicas {
		r.Always(r.work)
	}
}

// addProbes records calls that were made in addition to the load.
func (w *world) addProbes(calls []*call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probes = append(w.probes, calls...)
}

func (w *world) close() {
	w.lives.Stop()
	for _, r := range w.all {
		r.Close()
	}
	w.store.Close()
}
