package ranks

import (
	"context"
	"net/http"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// sumTime bounds the question to one sidecar for its counts, tallyTime that
	// for a sum: on a link of 8 Mbit/s they take up to 100 ms and twice that.
	sumTime   = 600 * time.Millisecond
	tallyTime = 1200 * time.Millisecond
	// smallGroup is the most counts, of all ranks together, that a keeper reads
	// itself; of more it reads sums. At three bytes a count this is some 30 KB,
	// which a side box's link of 8 Mbit/s carries in 30 ms.
	smallGroup = 10_000
	// sumOf is how many ranks one sum is of, about the root of the largest group.
	sumOf = 8
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
func (d *Doer) peer(address string) wire.Ranks {
	if d.Peer != nil {
		return d.Peer(graniteknot.Address(address))
	}
	return byDatagrams(d.Asker, graniteknot.Address(address), d.peers.client(address))
}

// Sum implements wire.Ranks.
func (d *Doer) Sum(ctx context.Context, r *wire.SumRequest) (*wire.SumReply, error) {
	all := make([][]uint64, len(r.GetSidecars())+1)
	var asked group.Group
	for i, address := range r.GetSidecars() {
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, sumTime)
			defer cancel()
			if reply, err := d.peer(address).Sum(short, &wire.SumRequest{}); err == nil {
				all[i] = reply.GetCounts()
			}
		})
	}
	own, err := d.Rank.Counts(ctx)
	asked.Wait()
	if err != nil {
		return nil, err
	}
	all[len(all)-1] = own
	return addUp(all), nil
}

// addUp sums the counts that came; all have the length of the last.
func addUp(all [][]uint64) *wire.SumReply {
	out := &wire.SumReply{Counts: make([]uint64, len(all[len(all)-1]))}
	for _, counts := range all {
		if len(counts) != len(out.Counts) {
			continue
		}
		out.Ranks++
		for i, n := range counts {
			out.Counts[i] += n
		}
	}
	return out
}
