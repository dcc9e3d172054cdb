package presence

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/delay"
)

const (
	// restoreSpread is over how long processes spread the writing of their own records when
	// the store has come back from an older copy that has none.
	restoreSpread = 500 * time.Millisecond
	// restorePatience is how long gateways wait for others to write their own, and
	// restoreTurn over how long they spread writing it for them: those that do not read the
	// store do not know that it lacks theirs.
	restorePatience = time.Second
	restoreTurn     = 2 * time.Second
)

// restore writes the records again that the store lost when it came back from an older copy:
// the own one, and after a while those of others that live and have none in the new era.
func (r *Registrar) restore(ctx context.Context, era graniteknot.Era) {
	delay.For(ctx, rand.N(restoreSpread))
	for ctx.Err() == nil && r.View.lacksOwn(era) {
		r.rewrite(ctx, r.Self)
	}
	if r.Self.Role != RoleGateway {
		return
	}
	delay.For(ctx, restorePatience+rand.N(restoreTurn))
	for _, m := range r.View.lacking(r.Self.Box, era, r.Clock.Now()) {
		if ctx.Err() != nil {
			return
		}
		r.rewrite(ctx, m)
	}
}

// rewrite writes a member's record; after a failed try it waits for a while.
func (r *Registrar) rewrite(ctx context.Context, m Member) {
	value, err := json.Marshal(m)
	if err != nil {
		r.Log.Warn("register again", slog.String("error", err.Error()))
		return
	}
	at, err := r.Store.Append(ctx, graniteknot.TopicMembers, graniteknot.KeyedRecord{Key: string(m.Box), Value: value})
	if err != nil {
		r.Log.Warn("register again", slog.String("member", string(m.Box)), slog.String("error", err.Error()))
		delay.For(ctx, registerRetry)
		return
	}
	r.Log.Info("registered again", slog.String("member", string(m.Box)), slog.String("position", at.String()))
	if m.Box == r.Self.Box {
		r.View.SetOwnPosition(at)
	}
}

// lacksOwn tells whether the own record is not known to stand in an era.
func (v *View) lacksOwn(era graniteknot.Era) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registered == nil || v.registered.Era() < era
}

// lacking returns the members but for one box that live and whose records are not known to
// stand in an era.
func (v *View) lacking(but graniteknot.BoxName, era graniteknot.Era, now time.Time) []Member {
	var out []Member
	for _, role := range []Role{RoleGateway, RoleSidecar} {
		out = append(out, v.members(role, but, func(p *peer) bool { return p.at.Era() < era && v.alive(p, now) })...)
	}
	return out
}
