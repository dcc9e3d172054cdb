package presence

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/eventlog"
	"graniteknot.org/go/internal/core/watch"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
)

const (
	// minRegisterRetryDelay and maxRegisterRetryDelay bound the mean delay after a failed write
	// of a member record. It doubles with each failure: where very many processes start at once,
	// the store refuses some of the writes.
	minRegisterRetryDelay = 400 * time.Millisecond
	maxRegisterRetryDelay = 6400 * time.Millisecond
	// registerMaxWait bounds how long a process waits for the records of earlier incarnations
	// before it writes its own; it polls at registerPollInterval.
	registerMaxWait      = 400 * time.Millisecond
	registerPollInterval = 20 * time.Millisecond
	// followPollWait is how long a read of the members waits for a change.
	followPollWait = 20 * time.Second
	// followReadPause batches changes that come together, as when many processes start.
	followReadPause = 500 * time.Millisecond
)

// Registrar writes a process's member record to the store and follows the other members.
type Registrar struct {
	Store  graniteknot.KeyedStore
	Self   Member
	View   *View
	Health *watch.Health
	Log    *eventlog.Log
	// Clock measures ages.
	Clock graniteknot.AgeClock
	// OnJoin, if set, is called for each new member and each new incarnation of one.
	OnJoin func(Member)
	// OnFirstRead, if set, is called once, after the first read of the member records
	// succeeded or failed. Argument unknown tells that it succeeded and that no record is of
	// this process or an earlier incarnation of it.
	OnFirstRead func(unknown bool)
	// SyncFromPeer, if set, fetches the members from another process instead of the store. It
	// returns false if none replies.
	SyncFromPeer func(ctx context.Context) bool

	// restoredEra is the store's era in which records have to be rewritten; 0 is none. Only the
	// follower's goroutine accesses it.
	restoredEra graniteknot.Era
	// recorded tells that the store has a record that equals the own one except for the
	// incarnation.
	recorded atomic.Bool
	// recordsRead tells that the member records were read.
	recordsRead atomic.Bool
	// malformed logs records that can't be decoded.
	malformed eventlog.Sparse
}

// Register writes the process's record to the store and retries until that succeeds. A
// process that restarted at the same addresses writes none: its datagrams tell the new
// incarnation.
func (r *Registrar) Register(ctx context.Context) {
	value, err := json.Marshal(r.Self)
	if err != nil {
		r.Log.Warn("registration failed", slog.String("error", err.Error()))
		return
	}
	for start := time.Now(); !r.recordsRead.Load() && time.Since(start) < registerMaxWait; {
		delay.For(ctx, registerPollInterval)
	}
	for retry := minRegisterRetryDelay; ctx.Err() == nil && !r.recorded.Load(); retry = min(2*retry, maxRegisterRetryDelay) {
		at, err := r.Store.Append(ctx, graniteknot.TopicMembers, graniteknot.KeyedRecord{Key: string(r.Self.Box), Value: value})
		if err == nil {
			r.View.SetOwnPosition(at)
			r.Log.Info("registered", slog.Int64("position", at.Offset()), slog.Uint64("born", uint64(r.Self.Incarnation)))
			return
		}
		// The record may have been written although the call failed; a second one does no harm.
		timer := time.NewTimer(retry/2 + rand.N(retry))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Follow updates the view from the store until ctx is done.
func (r *Registrar) Follow(ctx context.Context) {
	var once sync.Once
	firstRead := func(unknown bool) {
		if r.OnFirstRead != nil {
			once.Do(func() { r.OnFirstRead(unknown) })
		}
	}
	var restores group.Group
	defer restores.Stop()
	onNewest := func(records []graniteknot.KeyedRecord, began time.Time) {
		r.apply(records, began)
		r.recordsRead.Store(true)
		firstRead(!r.recorded.Load())
		if era := r.restoredEra; era != 0 {
			r.restoredEra = 0
			restores.Go(func(ctx context.Context) { r.restore(ctx, era) })
		}
	}
	follower := watch.Follower{
		Store: r.Store, Topic: graniteknot.TopicMembers, Health: r.Health, Clock: r.Clock, PollWait: followPollWait, ReadPause: followReadPause,
		OnNewest: onNewest, OnNext: r.apply, OnFailure: func(error) { firstRead(false) }, Revalidate: r.SyncFromPeer, RevalidateInterval: MemberSyncInterval,
		OnRestore: func(era graniteknot.Era) { r.restoredEra = era },
	}
	follower.Run(ctx)
}

// handleOwnRecord handles the record of this process or of an earlier incarnation of it.
func (r *Registrar) handleOwnRecord(m Member, at graniteknot.Position) {
	r.View.SetOwnPosition(at)
	m.Incarnation = r.Self.Incarnation
	if m == r.Self {
		r.recorded.Store(true)
	}
}

// apply updates the view from records.
func (r *Registrar) apply(records []graniteknot.KeyedRecord, _ time.Time) {
	for _, record := range records {
		if len(record.Value) == 0 {
			r.View.Remove(graniteknot.BoxName(record.Key))
			continue
		}
		m, err := decodeMember(record)
		if err != nil {
			r.malformed.Warn(r.Log, "malformed member record", record.Key, err.Error())
			continue
		}
		if m.Box == r.Self.Box {
			r.handleOwnRecord(m, record.At)
			continue
		}
		if !r.View.PutRecord(m, record.At, r.Clock.Now()) {
			continue
		}
		r.Log.Info("member", slog.String("member", string(m.Box)), slog.String("member_role", string(m.Role)),
			slog.Uint64("born", uint64(m.Incarnation)), slog.Int64("position", record.At.Offset()))
		if r.OnJoin != nil {
			r.OnJoin(m)
		}
	}
}
