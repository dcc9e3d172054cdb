// Package inspect asks all processes, starting from one, what they know, for
// the operators' commands. It changes nothing.
package inspect

import (
	"context"
	"fmt"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/link"
	"graniteknot.org/go/internal/core/timeline"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

// callTime bounds the call to one process.
const callTime = 2 * time.Second

// atOnce bounds the calls under way.
const atOnce = 32

// Line is one process's status, or why it has none.
type Line struct {
	Address graniteknot.Address
	Status  *wire.StatusReply
	Err     error
}

// Confirmed tells how old the process's word from the log is.
func (l Line) Confirmed() string {
	if l.Status.GetConfirmedMs() < 0 {
		return "never"
	}
	age := time.Duration(l.Status.GetConfirmedMs()) * time.Millisecond
	return age.Round(100*time.Millisecond).String() + " ago"
}

// Status asks every process that the one at an address knows.
func Status(ctx context.Context, client *link.Client, from graniteknot.Address) ([]Line, error) {
	addresses, err := addressesFrom(ctx, client, from)
	if err != nil {
		return nil, err
	}
	lines := make([]Line, len(addresses))
	each(ctx, addresses, func(ctx context.Context, i int, a graniteknot.Address) {
		status, err := client.Peer(a).Status(ctx, &wire.StatusRequest{})
		lines[i] = Line{Address: a, Status: status, Err: err}
	})
	return lines, nil
}

// Timeline merges the events of every process that the one at an address
// knows; those of one request when it is not empty.
func Timeline(ctx context.Context, client *link.Client, from graniteknot.Address, request graniteknot.RequestID) ([]*wire.Event, error) {
	addresses, err := addressesFrom(ctx, client, from)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var parts [][]*wire.Event
	each(ctx, addresses, func(ctx context.Context, _ int, a graniteknot.Address) {
		reply, err := client.Peer(a).Timeline(ctx, &wire.TimelineRequest{Request: string(request)})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		parts = append(parts, reply.GetEvents())
	})
	return timeline.Merge(parts...), nil
}

func addressesFrom(ctx context.Context, client *link.Client, from graniteknot.Address) ([]graniteknot.Address, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	status, err := client.Peer(from).Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", from, err)
	}
	var out []graniteknot.Address
	for _, m := range status.GetMembers() {
		out = append(out, graniteknot.Address(m.GetAddress()))
	}
	return out, nil
}

func each(ctx context.Context, addresses []graniteknot.Address, call func(context.Context, int, graniteknot.Address)) {
	var g group.Group
	limit := make(chan struct{}, atOnce)
	for i, a := range addresses {
		limit <- struct{}{}
		g.Go(func(context.Context) {
			defer func() { <-limit }()
			bounded, cancel := context.WithTimeout(ctx, callTime)
			defer cancel()
			call(bounded, i, a)
		})
	}
	g.Wait()
}
