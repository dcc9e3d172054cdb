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
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls, which doubles. Calls
	// are expensive, but a key must not be trusted for long without one.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// changePendingPause is the time between two reads while a change is known to be pending:
	// some seven reads per second during the seconds in which replicas register.
	changePendingPause = 150 * time.Millisecond
	// timeoutSteps is the number of failures after which the timeout of a call, whose margin
	// doubles with each failure, starts from its minimum again: most timeouts leave time to
	// query other processes.
	timeoutSteps = 3
)

// Follower follows one topic of the store. Set the exported fields; functions and Wake may be
// nil, except OnNewest and OnNext.
type Follower struct {
	Store  graniteknot.KeyedStore
	Topic  graniteknot.Topic
	Health *Health
	// Clock measures the age of reads.
	Clock graniteknot.AgeClock
	// PollWait is how long a read waits for a record; PollWaitFunc, if set, overrides it for
	// each read.
	PollWait     time.Duration
	PollWaitFunc func() time.Duration
	// MinReadInterval is the minimum time between the starts of two reads. It bounds the rate of
	// reads that a writer of useless records can cause.
	MinReadInterval time.Duration
	// ReadPause is the time from the end of a read to the start of the next one.
	ReadPause time.Duration
	// OnNewest receives the newest record of each key, OnNext the records that follow, of which
	// there may be none, each with the start of the last read that reached the end of the topic.
	OnNewest func(records []graniteknot.KeyedRecord, began time.Time)
	OnNext   func(records []graniteknot.KeyedRecord, began time.Time)
	// Revalidate reports whether another process confirmed that nothing has changed since the
	// last read, or supplied the changes. The store is not read then, and the next check
	// follows after RevalidateInterval.
	Revalidate         func(ctx context.Context) bool
	RevalidateInterval time.Duration
	// ChangePending tells that a change is known to be pending. The next read or revalidation
	// follows after changePendingPause at the latest then.
	ChangePending func() bool
	// RevalidateFirst calls Revalidate also before the first read.
	RevalidateFirst bool
	// FetchFromPeer fetches the newest records from another process after a failed call to the
	// store. It returns false if none supplies any.
	FetchFromPeer func(ctx context.Context) bool
	// OnFailure is called after a failed call.
	OnFailure func(err error)

	// OnRestore is called when the store was restored from an older copy, before OnNewest.
	OnRestore func(graniteknot.Era)
	// DetectLoss gives calls a timeout and makes failed and overdue ones count as the loss of
	// the store; see Health.Lost.
	DetectLoss bool
	// Wake ends the wait after a revalidation.
	Wake <-chan struct{}

	// initialized tells that the newest records were obtained once; synced that reads continue
	// from position.
	initialized, synced bool
	position            graniteknot.Position
	// currentAt is the start of the last read that reached the end of the topic.
	currentAt time.Time
	// positionRead tells that position is the end of a read of this process.
	positionRead bool
	retryDelay   time.Duration
	// lastOverdue tells that the last call was cancelled as soon as it was overdue; failures is
	// the number of consecutive failed calls.
	lastOverdue bool
	failures    int
	// revalidated tells that the last check was a revalidation.
	revalidated bool
}

// Position returns the position that the records passed to OnNewest or OnNext reach. It is called
// by these functions.
func (f *Follower) Position() graniteknot.Position { return f.position }

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.Revalidate != nil && (f.initialized || f.RevalidateFirst) && f.Revalidate(ctx) {
			f.revalidated = true
			f.sleep(ctx, f.nextPause(f.RevalidateInterval))
			continue
		}
		if f.revalidated {
			// The newest records of all keys may be far fewer than those since the last read.
			f.revalidated, f.synced = false, false
		}
		began := time.Now()
		err := f.step(ctx)
		pause := f.nextPause(f.ReadPause)
		switch {
		case err == nil || ctx.Err() != nil:
		case errors.Is(err, errOverdue):
			f.fetchFromPeer(ctx)
			continue
		default:
			pause = f.retryAfter(err)
			f.fetchFromPeer(ctx)
		}
		delay.For(ctx, max(pause, f.MinReadInterval-time.Since(began)))
	}
}

// sleep waits for a duration or until Wake.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.Wake:
	}
}

// nextPause returns a pause, shortened if a change is pending.
func (f *Follower) nextPause(pause time.Duration) time.Duration {
	if f.ChangePending != nil && f.ChangePending() {
		return min(pause, changePendingPause)
	}
	return pause
}

// fetchFromPeer fetches the records from another process. From then on these can be
// revalidated, as records of the store can.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	if f.FetchFromPeer != nil && f.FetchFromPeer(ctx) {
		f.initialized = true
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	began := f.Clock.Now()
	if !f.synced {
		page, err := f.newest(ctx, began)
		if err != nil {
			return f.recordFailure(ctx, began, err)
		}
		f.recordSuccess(began)
		if f.positionRead && page.End.Era() > f.position.Era() {
			f.handleRestore(page.End.Era())
		}
		f.initialized, f.synced, f.positionRead, f.position, f.currentAt = true, true, true, page.End, began
		f.OnNewest(page.Records, began)
		return nil
	}
	page, err := f.next(ctx, began)
	if errors.Is(err, graniteknot.ErrTrimmed) || errors.Is(err, graniteknot.ErrEra) {
		f.recordSuccess(began)
		f.synced = false
		return nil
	}
	if err != nil {
		return f.recordFailure(ctx, began, err)
	}
	f.recordSuccess(began)
	if page.Through > f.position {
		f.position = page.Through
	} else if page.End < f.position {
		// A store that does not report eras recreated the topic.
		f.synced = false
		return nil
	}
	if page.Through >= page.End {
		f.currentAt = began
	}
	f.OnNext(page.Records, f.currentAt)
	return nil
}

// errOverdue is returned for a call that was cancelled because its answer was overdue. The call
// is retried once, on another connection, before it counts as failed.
var errOverdue = errors.New("overdue")

// newest reads the newest records.
func (f *Follower) newest(ctx context.Context, began time.Time) (graniteknot.KeyedPage, error) {
	return f.call(ctx, began, 0, func(ctx context.Context) (graniteknot.KeyedPage, error) { return f.Store.Newest(ctx, f.Topic) })
}

// next reads the records that follow.
func (f *Follower) next(ctx context.Context, began time.Time) (graniteknot.KeyedPage, error) {
	wait := f.pollWait()
	return f.call(ctx, began, wait, func(ctx context.Context) (graniteknot.KeyedPage, error) {
		return f.Store.Read(ctx, f.Topic, f.position, wait)
	})
}

// call makes a call that asks the store to wait for at most a duration. With DetectLoss it has
// a timeout, and Health tracks it.
func (f *Follower) call(ctx context.Context, began time.Time, wait time.Duration, do func(context.Context) (graniteknot.KeyedPage, error)) (graniteknot.KeyedPage, error) {
	if !f.DetectLoss {
		return f.callUnbounded(ctx, do)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+f.Health.OverdueMargin()<<(f.failures%timeoutSteps))
	defer cancel()
	f.Health.BeginCall(f.Topic, began, wait)
	page, err := do(bounded)
	first := f.failures == 0
	f.lastOverdue = first && err != nil && bounded.Err() != nil && ctx.Err() == nil
	if f.lastOverdue {
		f.failures++
		f.Health.EndCall(f.Topic, false, 0)
		f.Health.RecordOverdue(began, f.Clock.Now())
		return page, errOverdue
	}
	if len(page.Records) > 0 && wait > 0 {
		// It is not known how long the call waited before the record arrived.
		wait = f.Clock.Since(began)
	}
	f.endCall(began, wait, err)
	return page, err
}

// callUnbounded makes a call without a timeout. It cancels the call when the store answers other
// calls again after an outage, since its own answer may be lost.
func (f *Follower) callUnbounded(ctx context.Context, do func(context.Context) (graniteknot.KeyedPage, error)) (graniteknot.KeyedPage, error) {
	regained := f.Health.Regained()
	inner, cancel := context.WithCancel(ctx)
	var canceller group.Group
	canceller.Go(func(context.Context) {
		select {
		case <-regained:
			cancel()
		case <-inner.Done():
		}
	})
	page, err := do(inner)
	cancelled := err != nil && inner.Err() != nil && ctx.Err() == nil
	cancel()
	canceller.Wait()
	if cancelled {
		return page, errOverdue
	}
	return page, err
}

// endCall reports the result and the latency of a call to Health; wait is how long the store
// was asked to wait.
func (f *Follower) endCall(began time.Time, wait time.Duration, err error) {
	answered := err == nil || errors.Is(err, graniteknot.ErrTrimmed) || errors.Is(err, graniteknot.ErrEra)
	latency := time.Duration(0)
	if err == nil {
		latency = f.Clock.Since(began) - wait
	}
	f.Health.EndCall(f.Topic, answered, latency)
}

// pollWait returns how long a read waits for a record. After a failed call it is 0: a call to an
// unavailable store times out after its wait and a margin, and one that starts just before the
// store's return would delay the next records for that long.
func (f *Follower) pollWait() time.Duration {
	if f.retryDelay > 0 || f.lastOverdue {
		return 0
	}
	if f.PollWaitFunc != nil {
		return f.PollWaitFunc()
	}
	return f.PollWait
}

func (f *Follower) recordSuccess(began time.Time) {
	f.retryDelay, f.failures = 0, 0
	f.Health.RecordSuccess(began, f.Clock.Now())
}

// recordFailure reports a failed call to Health, unless it was cancelled, and returns its error.
func (f *Follower) recordFailure(ctx context.Context, began time.Time, err error) error {
	if ctx.Err() == nil && !errors.Is(err, errOverdue) {
		f.Health.RecordFailure(began, f.Clock.Now(), err)
	}
	return err
}

// retryAfter handles a failed call and returns the jittered delay before the next one.
func (f *Follower) retryAfter(err error) time.Duration {
	if f.OnFailure != nil {
		f.OnFailure(err)
	}
	f.failures++
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	return f.retryDelay/2 + time.Duration(rand.Int64N(int64(f.retryDelay)))
}
