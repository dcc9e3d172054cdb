package ranks

import (
	"context"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// tallyTime bounds a keeper's question for the sum of a part, and waitShare is the
	// part of its own time that a sidecar gives those that it asks. On a narrow link the
	// sums of some branches, a few KB each, take a while.
	tallyTime = 600 * time.Millisecond
	waitShare = 0.65
	// smallGroup is the most counts, of all ranks together, that a keeper reads
	// itself; of more it reads sums. At three bytes a count this is some 30 KB,
	// which a side box's link of 8 Mbit/s carries in 30 ms.
	smallGroup = 10_000
)

// peers reaches other sidecars by their addresses.
type peers struct {
	mu   sync.Mutex
	http *http.Client
}

// client returns the calls of a sidecar at an address.
func (p *peers) client(address string) wire.Ranks {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.http == nil {
		p.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: mostCalls}}
	}
	return wire.NewRanksProtobufClient("http://"+address, p.http)
}

// peer returns the calls of another sidecar.
func (d *Executor) peer(address string) wire.Ranks {
	if d.PeerClient != nil {
		return d.PeerClient(graniteknot.Address(address))
	}
	return byDatagrams(d.Datagrams, graniteknot.Address(address), d.peers.client(address))
}

// Sum implements wire.Ranks. What does not come in time is left out: the sum is then
// of fewer ranks, of which the keeper is told the number.
func (d *Executor) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	wait := time.Duration(float64(r.GetWaitMs())*waitShare) * time.Millisecond
	var all summer
	var asked group.Group
	for _, branch := range branches(r.GetSidecars()) {
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			reply, err := d.peer(branch[0]).Sum(short, &wire.SumRequest{
				Sidecars: branch[1:], Fence: r.GetFence(), Round: r.GetRound(), Since: r.GetSince(), WaitMs: int32(wait.Milliseconds()),
			})
			if err == nil {
				all.add(reply)
			}
		})
	}
	if own, err := d.Rank.Counts(ctx); err == nil {
		all.add(d.samples.take(graniteknot.Position(r.GetFence()), r.GetRound(), r.GetSince(), own))
	}
	asked.Wait()
	return all.sum(), nil
}

// summer adds counts up. The zero value is empty.
type summer struct {
	mu     sync.Mutex
	counts []uint64
	// ranks is how many ranks they are of, sampled how many sidecars remember the
	// question.
	ranks, sampled int32
}

// add takes in a sum; one of another length than those before is left out.
func (s *summer) add(r *wire.SumReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sampled += r.GetSampled()
	if r.GetRanks() == 0 || s.ranks > 0 && len(r.GetCounts()) != len(s.counts) {
		return
	}
	if s.ranks == 0 {
		s.counts = make([]uint64, len(r.GetCounts()))
	}
	s.ranks += r.GetRanks()
	for i, b := range r.GetCounts() {
		s.counts[i] += coarse.Count(b)
	}
}

func (s *summer) sum() *wire.SumReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.SumReply{Counts: coarse.Bytes(s.counts), Ranks: s.ranks, Sampled: s.sampled}
}
