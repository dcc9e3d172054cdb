package demand

import (
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// cacheLife is for how long totals are reused: much less than the time between two messages of a
// gateway. Totals are asked for with each choice of a replica, and with 531 gateways as many
// messages arrive at a relay in a heartbeat interval.
const cacheLife = 50 * time.Millisecond

// Exchange holds the newest demand of each gateway. The zero value is empty.
type Exchange struct {
	mu sync.Mutex
	// gateways is how many gateways are alive, this one included.
	gateways int
	// own is this gateway's demand. told is what it last told the others, at toldAt, and encoded
	// the same as it is sent.
	own, told summary
	encoded   []byte
	toldAt    time.Time
	// peers are the summaries of other gateways, relays the sums of relays.
	peers, relays origins
	totals        map[graniteknot.Service]cachedTotals
}

// cachedTotals are the totals of a service as computed at a time.
type cachedTotals struct {
	totals Totals
	at     time.Time
}

// Own is this gateway's demand for a service.
type Own struct {
	Service  graniteknot.Service
	Ranks    []Rank
	Accounts []Account
}

// SetOwn sets this gateway's demand for each coordinated service, and how many gateways are alive,
// this one included.
func (x *Exchange) SetOwn(services []Own, gateways int) {
	own := make(summary, len(services))
	for _, o := range services {
		s := &sum{gateways: 1}
		for _, r := range o.Ranks {
			s.addRank(r)
		}
		for _, a := range o.Accounts {
			s.addAccount(a)
		}
		own[hashService(o.Service)] = s
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.own, x.gateways = own, gateways
	clear(x.totals)
}

// Tell encodes this gateway's demand for the messages to other gateways until the next call. It is
// called with each regular heartbeat.
func (x *Exchange) Tell(now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	out, err := x.own.encode(maxAccounts)
	x.encoded, x.told = out, nil
	if out == nil || err != nil {
		return err
	}
	// What was left out or rounded counts as the others know it.
	x.told, err = decode(out)
	x.toldAt = now
	return err
}

// Told returns this gateway's demand as it was last encoded; nil if no service is coordinated.
func (x *Exchange) Told() []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.encoded
}

// Receive records another gateway's demand.
func (x *Exchange) Receive(from Sender, body []byte, now time.Time) error {
	s, err := decode(body)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.peers == nil {
		x.peers = origins{}
	}
	if o := x.peers.accept(from, now); o != nil {
		o.summary = s
	}
	return nil
}

// Sum returns the demand of all gateways as a relay sends it; nil if no service is coordinated.
func (x *Exchange) Sum(now time.Time) ([]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := summary{}
	all.add(x.own)
	for _, o := range x.peers {
		if o.fresh(now) {
			all.add(o.summary)
		}
	}
	return all.encode(maxSummedAccounts)
}

// add adds the demand for all services.
func (m summary) add(o summary) {
	for h, s := range o {
		if m[h] == nil {
			m[h] = &sum{}
		}
		m[h].add(s)
	}
}

// ReceiveSum records a relay's sum.
func (x *Exchange) ReceiveSum(from Sender, body []byte, now time.Time) error {
	s, err := decode(body)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.relays == nil {
		x.relays = origins{}
	}
	o := x.relays.accept(from, now)
	if o == nil {
		return nil
	}
	o.summary, o.base = s, nil
	if !x.toldAt.IsZero() && now.Sub(x.toldAt) < maxAge {
		o.base = x.told
	}
	return nil
}

// Totals returns the demand for a service. The caller must not change the slices.
func (x *Exchange) Totals(s graniteknot.Service, now time.Time) Totals {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c, ok := x.totals[s]; ok && now.Sub(c.at) < cacheLife {
		return c.totals
	}
	if x.totals == nil {
		x.totals = map[graniteknot.Service]cachedTotals{}
	}
	out := x.compute(hashService(s), now)
	x.totals[s] = cachedTotals{out, now}
	return out
}

// compute returns the totals of a service from the summaries of gateways or from a relay's sum,
// whichever is of more gateways. The caller holds the lock.
func (x *Exchange) compute(h serviceHash, now time.Time) Totals {
	own := x.own[h]
	if own == nil {
		return Totals{}
	}
	all := &sum{}
	all.add(own)
	for _, o := range x.peers {
		if s := o.summary[h]; s != nil && o.fresh(now) {
			all.add(s)
		}
	}
	if relayed := x.relayed(h, own, now); relayed != nil && relayed.gateways > all.gateways {
		all = relayed
	}
	if all.gateways < 2 {
		return Totals{}
	}
	all.keepLargest(maxSummedAccounts)
	return Totals{
		Known: true, Gateways: all.gateways, Ranks: all.sortedRanks(), Accounts: all.largestAccounts(maxSummedAccounts), Unlisted: all.rest,
		OwnShare: Share(own.arrivals(), all.arrivals(), all.gateways, x.gateways),
	}
}

// relayed returns a service's demand by the sum of a relay, with the newest own demand; nil without
// one. Of several sums the one of the most gateways counts: a relay that has just started hears
// few at first. The caller holds the lock.
func (x *Exchange) relayed(h serviceHash, own *sum, now time.Time) *sum {
	var best *origin
	for _, o := range x.relays {
		s := o.summary[h]
		if s == nil || !o.fresh(now) {
			continue
		}
		if best == nil || s.gateways > best.summary[h].gateways || s.gateways == best.summary[h].gateways && o.heardAt.After(best.heardAt) {
			best = o
		}
	}
	if best == nil {
		return nil
	}
	out := &sum{}
	out.add(best.summary[h])
	told := best.base[h]
	if told == nil {
		out.gateways++
		told = &sum{}
	}
	out.replace(told, own)
	return out
}
