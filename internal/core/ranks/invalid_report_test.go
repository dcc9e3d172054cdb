package ranks_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/ranks"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/planner"
)

// editedPeer is a client for a sidecar whose look replies are changed.
type editedPeer struct {
	wire.Ranks
	edit func(*wire.LookReply)
}

// Look implements wire.Ranks.
func (p *editedPeer) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookReply, error) {
	reply, err := p.Ranks.Look(ctx, r)
	if err == nil {
		p.edit(reply)
	}
	return reply, err
}

// coordinatorWithEdits returns a coordinator that reads one rank through edits of its replies.
func (f *fixture) coordinatorWithEdits(fence graniteknot.Position, edited int, edit func(*wire.LookReply)) *ranks.Coordinator {
	var members []*ranks.Member
	for r, e := range f.executors {
		var peer wire.Ranks = e
		if r == edited {
			peer = &editedPeer{Ranks: e, edit: edit}
		}
		members = append(members, ranks.NewMember(graniteknot.Rank(r), peer, sidecarAddress(r), nil))
	}
	return f.coordinatorOf(members, fence, 0, 0)
}

// TestInvalidReportsKeepTheMap guards against a coordinator that ends or switches maps by a rank whose
// reports can't be true.
func TestInvalidReportsKeepTheMap(t *testing.T) {
	const edited = 2
	cases := map[string]func(*wire.LookReply){
		"step goes back":   func(reply *wire.LookReply) { reply.State.Step = 1000 - min(999, reply.GetState().GetStep()) },
		"unknown version":  func(reply *wire.LookReply) { reply.State.Mapping = 77 },
		"too many layers":  func(reply *wire.LookReply) { reply.Lists = append(reply.Lists, reply.GetLists()...) },
		"unknown expert":   func(reply *wire.LookReply) { editLists(reply, int32(smallShape.Experts)) },
		"negative expert":  func(reply *wire.LookReply) { editLists(reply, -1) },
		"too many experts": func(reply *wire.LookReply) { editLists(reply, 1, 1, 1) },
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(smallShape, 1)
				defer f.stop()
				f.bringIntoForce(t, planner.NewRoundRobin(smallShape), preparedMap)
				f.runFor(f.coordinatorWithEdits(2, edited, edit), 5*time.Second)
				for r, mapping := range f.checkMapsAgree(t).Mappings {
					if mapping != preparedMap {
						t.Errorf("rank %d has map %d, want %d", r, mapping, preparedMap)
					}
				}
				f.runFor(f.coordinator(3, 1), 5*time.Second)
				if now := f.checkMapsAgree(t).Mappings[0]; now == preparedMap {
					t.Error("no other map came into force once reports were valid")
				}
			})
		})
	}
}

// editLists adds experts to each list.
func editLists(reply *wire.LookReply, experts ...int32) {
	for _, list := range reply.GetLists() {
		list.Experts = append(list.Experts, experts...)
	}
}
