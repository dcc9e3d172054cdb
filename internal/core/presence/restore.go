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
	// restoreJitter spreads the processes' writes of their own records after the store was
	// restored from an older copy without them.
	restoreJitter = 500 * time.Millisecond
	// restorePeersDelay is how long gateways leave others time to write their own records,
	// and restorePeersJitter spreads their writes for the rest: processes that do not read
	// the store do not know that their record is missing.
	restorePeersDelay  = time.Second
	restorePeersJitter = 2 * time.Second
)

// restore rewrites the records that were lost when the store was restored from an older copy:
// the own one and, after a delay, those of alive members that have none in the new era.
func (r *Registrar) restore(ctx context.Context, era graniteknot.Era) {
	delay.For(ctx, rand.N(restoreJitter))
	for ctx.Err() == nil && r.View.ownRecordMissing(era) {
		r.rewriteRecord(ctx, r.Self)
	}
	if r.Self.Role != RoleGateway {
		return
	}
	delay.For(ctx, restorePeersDelay+rand.N(restorePeersJitter))
	for _, m := range r.View.missingRecords(r.Self.Box, era, r.Clock.Now()) {
		if ctx.Err() != nil {
			return
		}
		r.rewriteRecord(ctx, m)
	}
}

// rewriteRecord writes a member's record. After a failure it waits for minRegisterRetryDelay.
func (r *Registrar) rewriteRecord(ctx context.Context, m Member) {
	value, err := json.Marshal(m)
	if err != nil {
		r.Log.Warn("re-registration failed", slog.String("error", err.Error()))
		return
	}
	at, err := r.Store.Append(ctx, graniteknot.TopicMembers, graniteknot.KeyedRecord{Key: string(m.Box), Value: value})
	if err != nil {
		r.Log.Warn("re-registration failed", slog.String("member", string(m.Box)), slog.String("error", err.Error()))
		delay.For(ctx, minRegisterRetryDelay)
		return
	}
	r.Log.Info("registered again", slog.String("member", string(m.Box)), slog.String("position", at.String()))
	if m.Box == r.Self.Box {
		r.View.SetOwnPosition(at)
	}
}

// ownRecordMissing reports whether the own record is not known to exist in an era.
func (v *View) ownRecordMissing(era graniteknot.Era) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownPosition == nil || v.ownPosition.Era() < era
}

// missingRecords returns the alive members, except one box, whose records are not known to
// exist in an era.
func (v *View) missingRecords(except graniteknot.BoxName, era graniteknot.Era, now time.Time) []Member {
	var out []Member
	for _, role := range []Role{RoleGateway, RoleSidecar} {
		out = append(out, v.members(role, except, func(p *peer) bool { return p.position.Era() < era && v.isAlive(p, now) })...)
	}
	return out
}
