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
	// An order has all its tries in the time.
	relayLook = 150 * time.Millisecond
	relayGive = orderTime + 50*time.Millisecond
)

// LookAll implements wire.Ranks.
func (d *Doer) LookAll(ctx context.Context, r *wire.LookAllRequest) (*wire.LookAllReply, error) {
	out := &wire.LookAllReply{Replies: make([]*wire.LookReply, len(r.GetSidecars())+1)}
	var asked group.Group
	for i, address := range r.GetSidecars() {
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, relayLook)
			defer cancel()
			// The keeper asks itself the ones that do not answer here.
			out.Replies[i+1] = orEmpty(d.peer(address).Look(short, r.GetLook()))
		})
	}
	out.Replies[0] = orEmpty(d.Look(ctx, r.GetLook()))
	asked.Wait()
	return out, nil
}

func orEmpty(reply *wire.LookReply, err error) *wire.LookReply {
	if err != nil || reply == nil {
		return &wire.LookReply{}
	}
	return reply
}

// GiveAll implements wire.Ranks.
func (d *Doer) GiveAll(ctx context.Context, r *wire.GiveAllRequest) (*wire.GiveAllReply, error) {
	out := &wire.GiveAllReply{Replies: make([]*wire.GiveReply, len(r.GetSidecars())+1)}
	var asked group.Group
	for i, address := range r.GetSidecars() {
		asked.Go(func(context.Context) {
			short, cancel := context.WithTimeout(ctx, relayGive)
			defer cancel()
			out.Replies[i+1] = orLost(d.peer(address).Give(short, r.GetGive()))
		})
	}
	out.Replies[0] = orLost(d.Give(ctx, r.GetGive()))
	asked.Wait()
	return out, nil
}

func orLost(reply *wire.GiveReply, err error) *wire.GiveReply {
	if err != nil || reply == nil {
		return &wire.GiveReply{Result: int32(held.ResultLost)}
	}
	return reply
}
