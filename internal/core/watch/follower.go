package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/delay"
	"graniteknot.org/go/internal/group"
)

const (
	// firstRetry and longestRetry bound the pause after a failed call, which
	// doubles. Calls are dear, and a key must not be trusted for long.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 500 * time.Millisecond
	// urgentPause is the time between two looks while something is known to have
	// changed: some seven a second, for the seconds in which replicas register.
	urgentPause = 150 * time.Millisecond
	// patienceSteps is in how many steps, each twice as long, a call that failed is waited for:
	// most of them leave time to ask others.
	patienceSteps = 3
)

// Follower follows one topic. Set the exported fields.
type Follower struct {
	Store  graniteknot.KeyedStore
	Topic  graniteknot.Topic
	Health *Health
	// Clock is what the age of what was read is decided by.
	Clock graniteknot.AgeClock
	// PollWait is how long a read waits for a record; WaitNow tells it anew for each read where it
	// is set.
	PollWait     time.Duration
	PollWaitFunc func() time.Duration
	// MinReadInterval is the least time between the begins of two reads, so that a writer of
	// records that nobody can use does not have the store read with each of them.
	MinReadInterval time.Duration
	// ReadPause is the time between two reads.
	ReadPause time.Duration
	// OnNewest takes the newest record of each key, Next records that follow, of
	// which there may be none; the read that returned them began at the time.
	OnNewest func(records []graniteknot.KeyedRecord, began time.Time)
	OnNext   func(records []graniteknot.KeyedRecord, began time.Time)
	// Revalidate tells whether another process proves that nothing has changed
	// since the last read, or hands on what has; then the store is not asked, and the
	// next look comes after RevalidatePause. Nil where nobody does.
	Revalidate         func(ctx context.Context) bool
	RevalidateInterval time.Duration
	// ChangePending tells that something is known to have changed; then the next look comes
	// after urgentPause, whoever is asked. Nil for never.
	ChangePending func() bool
	// RevalidateFirst has others asked also before the first read.
	RevalidateFirst bool
	// FetchFromPeer takes the newest records from another process, after a call to the
	// store that failed; false when none has others. Nil where nobody does.
	FetchFromPeer func(ctx context.Context) bool
	// OnFailure notes a failed call; nil for nothing.
	OnFailure func(err error)

	// OnRestore notes that the store has come back from an older copy, before its newest
	// records are taken; nil for nothing.
	OnRestore func(graniteknot.Era)
	// DetectLoss has calls that fail or are overdue count as the loss of the store.
	DetectLoss bool
	// Wake ends the pause after another process has proved what is known; nil for never.
	Wake <-chan struct{}

	// begun tells that the newest records were read once; synced that records are
	// read on from there.
	begun, synced bool
	from          graniteknot.Position
	// read tells that from is where a read of this process ended.
	read  bool
	retry time.Duration
	// cut tells that the last call was given up as soon as it was overdue, failures how many
	// calls in a row failed.
	cut      bool
	failures int
	// revalidated tells that the last look did not ask the store.
	revalidated bool
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Revalidate != nil && (f.begun || f.RevalidateFirst) && f.Revalidate(ctx) {
			f.revalidated = true
			f.sleep(ctx, f.pause(f.RevalidateInterval))
			continue
		}
		if f.revalidated {
			// The records since the last read may be many, the newest ones are few.
			f.revalidated, f.synced = false, false
		}
		began := time.Now()
		pause := f.pause(f.ReadPause)
		switch err := f.step(ctx); {
		case err == nil || ctx.Err() != nil:
		case errors.Is(err, errOverdue):
			f.elsewhere(ctx)
			continue
		default:
			pause = f.failed(err)
			f.elsewhere(ctx)
		}
		delay.For(ctx, max(pause, f.MinReadInterval-time.Since(began)))
	}
}

// sleep waits for a time, or until the follower is woken.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.Wake:
	}
}

// pause is the time until the next look where it is usually so long.
func (f *Follower) pause(usual time.Duration) time.Duration {
	if f.ChangePending != nil && f.ChangePending() {
		return min(usual, urgentPause)
	}
	return usual
}

// elsewhere asks other processes for the records. From then on they can prove that
// these are the newest, as they can of records that the store gave.
func (f *Follower) elsewhere(ctx context.Context) {
	if f.FetchFromPeer != nil && f.FetchFromPeer(ctx) {
		f.begun = true
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	began := f.Clock.Now()
	if !f.synced {
		page, err := f.newest(ctx, began)
		if err != nil {
			return f.note(ctx, began, err)
		}
		f.good()
		if f.read && page.End.Era() > f.from.Era() {
			f.renewed(page.End.Era())
		}
		f.begun, f.synced, f.read, f.from = true, true, true, page.End
		f.OnNewest(page.Records, began)
		return nil
	}
	page, err := f.next(ctx, began)
	if errors.Is(err, graniteknot.ErrTrimmed) || errors.Is(err, graniteknot.ErrEra) {
		f.good()
		f.synced = false
		return nil
	}
	if err != nil {
		return f.note(ctx, began, err)
	}
	f.good()
	if page.Through > f.from {
		f.from = page.Through
	} else if page.End < f.from {
		// The topic was begun anew, by a store that tells no eras.
		f.synced = false
		return nil
	}
	f.OnNext(page.Records, began)
	return nil
}

// errOverdue is a call that was given up because its answer was overdue. It is made once more,
// on another connection, before it counts as failed.
var errOverdue = errors.New("overdue")

// newest reads the newest records.
func (f *Follower) newest(ctx context.Context, began time.Time) (graniteknot.KeyedPage, error) {
	return f.call(ctx, began, 0, func(ctx context.Context) (graniteknot.KeyedPage, error) { return f.Store.Newest(ctx, f.Topic) })
}

// next reads on.
func (f *Follower) next(ctx context.Context, began time.Time) (graniteknot.KeyedPage, error) {
	wait := f.wait()
	return f.call(ctx, began, wait, func(ctx context.Context) (graniteknot.KeyedPage, error) {
		return f.Store.Read(ctx, f.Topic, f.from, wait)
	})
}

// call makes a call that waits for at most a time.
func (f *Follower) call(ctx context.Context, began time.Time, wait time.Duration, do func(context.Context) (graniteknot.KeyedPage, error)) (graniteknot.KeyedPage, error) {
	if !f.DetectLoss {
		return f.long(ctx, do)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+f.Health.OverdueMargin()<<(f.failures%patienceSteps))
	defer cancel()
	f.Health.BeginCall(f.Topic, began, wait)
	page, err := do(bounded)
	first := f.failures == 0
	f.cut = first && err != nil && bounded.Err() != nil && ctx.Err() == nil
	if f.cut {
		f.failures++
		f.Health.EndCall(f.Topic, false, 0)
		return page, errOverdue
	}
	if len(page.Records) > 0 && wait > 0 {
		// When the record came that it waited for is not known.
		wait = f.Clock.Since(began)
	}
	f.ended(began, wait, err)
	return page, err
}

// long makes a call that may wait for long. It is given up when the store answers other calls
// again after it did not: its own answer may be lost.
func (f *Follower) long(ctx context.Context, do func(context.Context) (graniteknot.KeyedPage, error)) (graniteknot.KeyedPage, error) {
	regained := f.Health.Regained()
	inner, cancel := context.WithCancel(ctx)
	var watcher group.Group
	watcher.Go(func(context.Context) {
		select {
		case <-regained:
			cancel()
		case <-inner.Done():
		}
	})
	page, err := do(inner)
	given := err != nil && inner.Err() != nil && ctx.Err() == nil
	cancel()
	watcher.Wait()
	if given {
		return page, errOverdue
	}
	return page, err
}

// ended notes the end of a call that was asked to wait for a time.
func (f *Follower) ended(began time.Time, wait time.Duration, err error) {
	answered := err == nil || errors.Is(err, graniteknot.ErrTrimmed) || errors.Is(err, graniteknot.ErrEra)
	took := time.Duration(0)
	if err == nil {
		took = f.Clock.Since(began) - wait
	}
	f.Health.EndCall(f.Topic, answered, took)
}

// renewed acts on the store's return from an older copy. What is missing there may be
// written again soon, as after an outage.
func (f *Follower) renewed(era graniteknot.Era) {
	f.Health.RecordRestore(f.Topic, f.from, era, f.Clock.Now())
	if f.OnRestore != nil {
		f.OnRestore(era)
	}
}

// wait is how long a read waits for a record. After a failed call it does not
// wait: a call to a store that is away is given up after its own time and the
// wait, and one that began just before the store's return would be missing for
// that long.
func (f *Follower) wait() time.Duration {
	if f.retry > 0 || f.cut {
		return 0
	}
	if f.PollWaitFunc != nil {
		return f.PollWaitFunc()
	}
	return f.PollWait
}

func (f *Follower) good() {
	f.retry, f.failures = 0, 0
	f.Health.RecordSuccess(f.Clock.Now())
}

func (f *Follower) note(ctx context.Context, began time.Time, err error) error {
	if ctx.Err() == nil && !errors.Is(err, errOverdue) {
		f.Health.RecordFailure(began, err)
	}
	return err
}

// failed returns how long to wait before the next call.
func (f *Follower) failed(err error) time.Duration {
	if f.OnFailure != nil {
		f.OnFailure(err)
	}
	f.failures++
	f.retry = min(max(2*f.retry, firstRetry), longestRetry)
	return f.retry/2 + time.Duration(rand.Int64N(int64(f.retry)))
}
