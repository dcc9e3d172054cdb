package ranks

import (
	"context"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/boundedhttp"
	"graniteknot.org/go/internal/core/coarse"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// sumTimeout bounds a coordinator's request for a subtree's sum, and childWaitFraction
	// is the fraction of its own timeout that a relay allows the sidecars it calls. On a
	// narrow link the sums of several branches, a few KB each, take a while.
	sumTimeout        = 600 * time.Millisecond
	childWaitFraction = 0.65
	// maxDirectCounts is the number of counts, over all ranks, up to which a coordinator
	// reads each rank's counts itself; above it, it reads sums. At three bytes a count this
	// is some 30 KB, which a side box's link of 8 Mbit/s carries in 30 ms.
	maxDirectCounts = 10_000
)

// httpPeers creates HTTP clients for other sidecars.
type httpPeers struct {
	mu   sync.Mutex
	http *http.Client
}

// maxReply bounds a reply of another sidecar: the counts of all ranks below it.
const maxReply = 16 << 20

// newHTTPClient returns a client for calls to other sidecars.
func newHTTPClient() *http.Client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxSameCalls, MaxResponseHeaderBytes: boundedhttp.MaxHead}
	return &http.Client{Transport: &boundedhttp.Transport{Base: transport, MaxBody: maxReply}}
}

// client returns a client for the sidecar at an address.
func (p *httpPeers) client(address string) wire.Ranks {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.http == nil {
		p.http = newHTTPClient()
	}
	return wire.NewRanksProtobufClient("http://"+address, p.http)
}

// peerClient returns a client for another sidecar.
func (e *Executor) peerClient(address string) wire.Ranks {
	if e.PeerClient != nil {
		return e.PeerClient(graniteknot.Address(address))
	}
	return overDatagrams(e.Datagrams, graniteknot.Address(address), e.httpPeers.client(address))
}

// Sum implements wire.Ranks. Replies that are late are left out; the reply says how many
// ranks it covers.
func (e *Executor) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	timeout := time.Duration(float64(r.GetWaitMs())*childWaitFraction) * time.Millisecond
	var sum countSum
	var calls group.Group
	for _, branch := range splitBranches(r.GetSidecars()) {
		calls.Go(func(context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := e.peerClient(branch[0]).Sum(callCtx, &wire.SumRequest{
				Sidecars: branch[1:], Fence: r.GetFence(), Round: r.GetRound(), Since: r.GetSince(), WaitMs: int32(timeout.Milliseconds()),
			})
			if err == nil {
				sum.add(reply)
			}
		})
	}
	if own, err := e.Rank.Counts(ctx); err == nil {
		sum.add(e.countHistory.record(graniteknot.Position(r.GetFence()), r.GetRound(), r.GetSince(), own))
	}
	calls.Wait()
	return sum.reply(), nil
}

// countSum adds up counts. The zero value is ready to use.
type countSum struct {
	mu     sync.Mutex
	counts []uint64
	// ranks is the number of ranks summed, sampled the number of sidecars that stored a
	// sample of the round.
	ranks, sampled int32
}

// add adds a reply; counts of a different length than before are ignored.
func (s *countSum) add(r *wire.SumReply) {
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

func (s *countSum) reply() *wire.SumReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wire.SumReply{Counts: coarse.Bytes(s.counts), Ranks: s.ranks, Sampled: s.sampled}
}
