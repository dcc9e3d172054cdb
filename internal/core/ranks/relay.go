package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// relayLook and relayGive bound the calls that a sidecar makes for a keeper.
	// An order has all its tries in the time. relayStep is added where the sidecar
	// that is called has to call others.
	relayLook = 150 * time.Millisecond
	relayGive = orderTime + 50*time.Millisecond
	relayStep = 50 * time.Millisecond
)

// LookAll implements wire.Ranks.
func (d *Executor) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	var all alikes
	var asked group.Group
	place := int32(1)
	for _, branch := range branches(r.GetSidecars()) {
		first := place
		place += int32(len(branch))
		asked.Go(func(context.Context) { d.lookBranch(ctx, r.GetLook(), branch, first, &all) })
	}
	// What does not answer here is asked by the keeper itself.
	if own, err := d.Look(ctx, r.GetLook()); err == nil {
		all.add(own, 0)
	}
	asked.Wait()
	return all.reply(), nil
}

// lookBranch looks at the ranks of a branch, which are at the places from the first
// on.
func (d *Executor) lookBranch(ctx context.Context, look *wire.LookRequest, branch []string, first int32, all *alikes) {
	peer := d.peer(branch[0])
	if len(branch) == 1 {
		short, cancel := context.WithTimeout(ctx, relayLook)
		defer cancel()
		if reply, err := peer.Look(short, look); err == nil {
			all.add(reply, first)
		}
		return
	}
	long, cancel := context.WithTimeout(ctx, relayLook+relayStep)
	defer cancel()
	reply, err := peer.LookAll(long, &wire.LookAllRequest{Look: look, Sidecars: branch[1:]})
	if err != nil {
		return
	}
	for _, one := range reply.GetAlike() {
		places := make([]int32, len(one.GetPlaces()))
		for i, p := range one.GetPlaces() {
			places[i] = first + p
		}
		all.add(one.GetLook(), places...)
	}
}

// GiveAll implements wire.Ranks.
func (d *Executor) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	out := &wire.GiveAllReply{Replies: make([]*wire.GiveReply, len(r.GetSidecars())+1)}
	var asked group.Group
	place := 1
	for _, branch := range branches(r.GetSidecars()) {
		replies := out.Replies[place : place+len(branch)]
		place += len(branch)
		asked.Go(func(context.Context) { d.giveBranch(ctx, r.GetGive(), branch, replies) })
	}
	out.Replies[0] = orLost(d.Give(ctx, r.GetGive()))
	asked.Wait()
	return out, nil
}

// giveBranch gives an order to the ranks of a branch.
func (d *Executor) giveBranch(ctx context.Context, give *wire.GiveRequest, branch []string, replies []*wire.GiveReply) {
	for i := range replies {
		replies[i] = lost()
	}
	peer := d.peer(branch[0])
	if len(branch) == 1 {
		short, cancel := context.WithTimeout(ctx, relayGive)
		defer cancel()
		replies[0] = orLost(peer.Give(short, give))
		return
	}
	long, cancel := context.WithTimeout(ctx, relayGive+relayStep)
	defer cancel()
	reply, err := peer.GiveAll(long, &wire.GiveAllRequest{Give: give, Sidecars: branch[1:]})
	if err == nil && len(reply.GetReplies()) == len(replies) {
		copy(replies, reply.GetReplies())
	}
}

func lost() *wire.GiveReply { return &wire.GiveReply{Result: int32(held.ResultLost)} }

func orLost(reply *wire.GiveReply, err error) *wire.GiveReply {
	if err != nil || reply == nil {
		return lost()
	}
	return reply
}
