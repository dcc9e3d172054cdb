package presence

import (
	"context"
	"encoding/json"
	"log/slog"
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
	// registerRetryDelay is the pause after a failed try to register.
	registerRetryDelay = 400 * time.Millisecond
	// registerMaxWait bounds how long a process waits for the records of former lives
	// before it writes its own; it looks each registerStep.
	registerMaxWait      = 400 * time.Millisecond
	registerPollInterval = 20 * time.Millisecond
	// followPollWait is how long one read of the members waits for a change.
	followPollWait = 20 * time.Second
	// followReadPause gathers changes that come together, as at a start.
	followReadPause = 500 * time.Millisecond
)

// Registrar writes a process into the store and follows the others.
type Registrar struct {
	Store  graniteknot.KeyedStore
	Self   Member
	View   *View
	Health *watch.Health
	Log    *eventlog.Log
	// Clock is what ages are decided by.
	Clock graniteknot.AgeClock
	// OnJoin is called when a member is new, or a new life of one; nil for
	// nothing.
	OnJoin func(Member)
	// OnFirstRead is called once, when the members' records were first read or could not be; unknown
	// tells that they were, and that none is of this process or a former life of it. Nil for
	// nothing.
	OnFirstRead func(unknown bool)
	// SyncFromPeer learns from other processes who is known, in place of a call to the
	// store; false when none answers. Nil where nobody does.
	SyncFromPeer func(ctx context.Context) bool

	// restoredEra is the era in which records are to be written again; 0 for none. Only the
	// follower touches it.
	restoredEra graniteknot.Era
	// recorded tells that the store has a record that differs from the own one by the life
	// at most.
	recorded atomic.Bool
	// recordsRead tells that the records were recordsRead.
	recordsRead atomic.Bool
	// malformed tells of records that can't be used.
	malformed eventlog.Sparse
}

// Register writes the process into the store; it tries until it has an answer. A
// process that started anew at the same addresses is known already: its life is told by
// its datagrams.
func (r *Registrar) Register(ctx context.Context) {
	value, err := json.Marshal(r.Self)
	if err != nil {
		r.Log.Warn("register", slog.String("error", err.Error()))
		return
	}
	for began := time.Now(); !r.recordsRead.Load() && time.Since(began) < registerMaxWait; {
		delay.For(ctx, registerPollInterval)
	}
	for ctx.Err() == nil && !r.recorded.Load() {
		at, err := r.Store.Append(ctx, graniteknot.TopicMembers, graniteknot.KeyedRecord{Key: string(r.Self.Box), Value: value})
		if err == nil {
			r.View.SetOwnPosition(at)
			r.Log.Info("registered", slog.Int64("position", at.Offset()), slog.Uint64("born", uint64(r.Self.Incarnation)))
			return
		}
		// Registering twice is harmless.
		timer := time.NewTimer(registerRetryDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Follow keeps the view up to date until ctx is done.
func (r *Registrar) Follow(ctx context.Context) {
	var once sync.Once
	met := func(unknown bool) {
		if r.OnFirstRead != nil {
			once.Do(func() { r.OnFirstRead(unknown) })
		}
	}
	var again group.Group
	defer again.Stop()
	newest := func(records []graniteknot.KeyedRecord, began time.Time) {
		r.apply(records, began)
		r.recordsRead.Store(true)
		met(!r.recorded.Load())
		if era := r.restoredEra; era != 0 {
			r.restoredEra = 0
			again.Go(func(ctx context.Context) { r.restore(ctx, era) })
		}
	}
	follower := watch.Follower{
		Store: r.Store, Topic: graniteknot.TopicMembers, Health: r.Health, Clock: r.Clock, PollWait: followPollWait, ReadPause: followReadPause,
		OnNewest: newest, OnNext: r.apply, OnFailure: func(error) { met(false) }, Revalidate: r.SyncFromPeer, RevalidateInterval: MemberSyncInterval,
		OnRestore: func(era graniteknot.Era) { r.restoredEra = era },
	}
	follower.Run(ctx)
}

// handleOwnRecord notes the handleOwnRecord record, of this life or a former one.
func (r *Registrar) handleOwnRecord(m Member, at graniteknot.Position) {
	r.View.SetOwnPosition(at)
	m.Incarnation = r.Self.Incarnation
	if m == r.Self {
		r.recorded.Store(true)
	}
}

func (r *Registrar) apply(records []graniteknot.KeyedRecord, _ time.Time) {
	for _, record := range records {
		if len(record.Value) == 0 {
			r.View.Remove(graniteknot.BoxName(record.Key))
			continue
		}
		m, err := decodeMember(record)
		if err != nil {
			r.malformed.Warn(r.Log, "malformed member", record.Key, err.Error())
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
