package ranks

import (
	"context"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/group"
	"graniteknot.org/go/internal/wire"
)

const (
	// relayLookTimeout and relayGiveTimeout bound the calls that a relay makes; the latter
	// covers an order's retries. relayHopTimeout is added where the called sidecar relays
	// to others in turn.
	relayLookTimeout = 150 * time.Millisecond
	relayGiveTimeout = orderTimeout + 50*time.Millisecond
	relayHopTimeout  = 50 * time.Millisecond
)

// LookAll implements wire.Ranks.
func (e *Executor) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	var merger lookMerger
	var calls group.Group
	position := int32(1)
	for _, branch := range splitBranches(r.GetSidecars()) {
		first := position
		position += int32(len(branch))
		calls.Go(func(context.Context) { e.lookBranch(ctx, r.GetLook(), branch, first, &merger) })
	}
	// The coordinator calls ranks that don't answer here itself.
	if own, err := e.Look(ctx, r.GetLook()); err == nil {
		merger.add(own, 0)
	}
	calls.Wait()
	return merger.reply(), nil
}

// lookBranch reads the ranks of a branch, whose positions in the request begin at first.
func (e *Executor) lookBranch(ctx context.Context, look *wire.LookRequest, branch []string, first int32, merger *lookMerger) {
	peer := e.peerClient(branch[0])
	if len(branch) == 1 {
		callCtx, cancel := context.WithTimeout(ctx, relayLookTimeout)
		defer cancel()
		if reply, err := peer.Look(callCtx, look); err == nil {
			merger.add(reply, first)
		}
		return
	}
	relayCtx, cancel := context.WithTimeout(ctx, relayLookTimeout+relayHopTimeout)
	defer cancel()
	reply, err := peer.LookAll(relayCtx, &wire.LookAllRequest{Look: look, Sidecars: branch[1:]})
	if err != nil {
		return
	}
	for _, merged := range reply.GetAlike() {
		positions := make([]int32, len(merged.GetPlaces()))
		for i, position := range merged.GetPlaces() {
			positions[i] = first + position
		}
		merger.add(merged.GetLook(), positions...)
	}
}

// GiveAll implements wire.Ranks.
func (e *Executor) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	out := &wire.GiveAllReply{Replies: make([]*wire.GiveReply, len(r.GetSidecars())+1)}
	var calls group.Group
	position := 1
	for _, branch := range splitBranches(r.GetSidecars()) {
		replies := out.Replies[position : position+len(branch)]
		position += len(branch)
		calls.Go(func(context.Context) { e.giveBranch(ctx, r.GetGive(), branch, replies) })
	}
	out.Replies[0] = replyOrLost(e.Give(ctx, r.GetGive()))
	calls.Wait()
	return out, nil
}

// giveBranch sends an order to the ranks of a branch.
func (e *Executor) giveBranch(ctx context.Context, give *wire.GiveRequest, branch []string, replies []*wire.GiveReply) {
	for i := range replies {
		replies[i] = lostReply()
	}
	peer := e.peerClient(branch[0])
	if len(branch) == 1 {
		callCtx, cancel := context.WithTimeout(ctx, relayGiveTimeout)
		defer cancel()
		replies[0] = replyOrLost(peer.Give(callCtx, give))
		return
	}
	relayCtx, cancel := context.WithTimeout(ctx, relayGiveTimeout+relayHopTimeout)
	defer cancel()
	reply, err := peer.GiveAll(relayCtx, &wire.GiveAllRequest{Give: give, Sidecars: branch[1:]})
	if err == nil && len(reply.GetReplies()) == len(replies) {
		copy(replies, reply.GetReplies())
	}
}

func lostReply() *wire.GiveReply { return &wire.GiveReply{Result: int32(held.ResultUnknown)} }

func replyOrLost(reply *wire.GiveReply, err error) *wire.GiveReply {
	if err != nil || reply == nil {
		return lostReply()
	}
	return reply
}
