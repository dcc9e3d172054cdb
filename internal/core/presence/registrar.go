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
	// registerRetry is the pause after a failed try to register.
	registerRetry = 400 * time.Millisecond
	// registerWait bounds how long a process waits for the records of former lives
	// before it writes its own; it looks each registerStep.
	registerWait = 400 * time.Millisecond
	registerStep = 20 * time.Millisecond
	// followWait is how long one read of the members waits for a change.
	followWait = 20 * time.Second
	// followPause gathers changes that come together, as at a start.
	followPause = 500 * time.Millisecond
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

	// renewed is the era in which records are to be written again; 0 for none. Only the
	// follower touches it.
	renewed graniteknot.Era
	// known tells that the store has a record that differs from the own one by the life
	// at most.
	known atomic.Bool
	// read tells that the records were read.
	read atomic.Bool
	// odd tells of records that can't be used.
	odd eventlog.Sparse
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
	for began := time.Now(); !r.read.Load() && time.Since(began) < registerWait; {
		delay.For(ctx, registerStep)
	}
	for ctx.Err() == nil && !r.known.Load() {
		at, err := r.Store.Append(ctx, graniteknot.TopicMembers, graniteknot.KeyedRecord{Key: string(r.Self.Box), Value: value})
		if err == nil {
			r.View.SetOwnPosition(at)
			r.Log.Info("registered", slog.Int64("position", at.Offset()), slog.Uint64("born", uint64(r.Self.Incarnation)))
			return
		}
		// Registering twice is harmless.
		timer := time.NewTimer(registerRetry)
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
		r.take(records, began)
		r.read.Store(true)
		met(!r.known.Load())
		if era := r.renewed; era != 0 {
			r.renewed = 0
			again.Go(func(ctx context.Context) { r.restore(ctx, era) })
		}
	}
	follower := watch.Follower{
		Store: r.Store, Topic: graniteknot.TopicMembers, Health: r.Health, Clock: r.Clock, PollWait: followWait, ReadPause: followPause,
		OnNewest: newest, OnNext: r.take, OnFailure: func(error) { met(false) }, Revalidate: r.SyncFromPeer, RevalidateInterval: MemberSyncInterval,
		OnRestore: func(era graniteknot.Era) { r.renewed = era },
	}
	follower.Run(ctx)
}

// own notes the own record, of this life or a former one.
func (r *Registrar) own(m Member, at graniteknot.Position) {
	r.View.SetOwnPosition(at)
	m.Incarnation = r.Self.Incarnation
	if m == r.Self {
		r.known.Store(true)
	}
}

func (r *Registrar) take(records []graniteknot.KeyedRecord, _ time.Time) {
	for _, record := range records {
		if len(record.Value) == 0 {
			r.View.Remove(graniteknot.BoxName(record.Key))
			continue
		}
		m, err := memberOf(record)
		if err != nil {
			r.odd.Warn(r.Log, "malformed member", record.Key, err.Error())
			continue
		}
		if m.Box == r.Self.Box {
			r.own(m, record.At)
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
