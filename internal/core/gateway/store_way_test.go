package gateway_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	graniteknot "graniteknot.org/go"
)

// access is what a box gets of the store.
type access int

const (
	accessOpen access = iota
	// accessSilent gets no answer, accessRefused a refusal, accessReset a broken connection.
	accessSilent
	accessRefused
	accessReset
	// accessHung gets no answer to reads of the settings alone, as where one connection
	// has gone silent.
	accessHung
)

// storeWay is one box's way to the store.
type storeWay struct {
	graniteknot.KeyedStore

	mu     sync.Mutex
	access access
	// took is how long an answer takes beside what it waited for.
	took  time.Duration
	calls int
	// replicaReads are those of them that read the replicas' records.
	replicaReads int
	// changed is closed when the access changes.
	changed chan struct{}
}

func newWay(s graniteknot.KeyedStore) *storeWay {
	return &storeWay{KeyedStore: s, took: rigStore, changed: make(chan struct{})}
}

// set changes the access. Calls that wait for an answer meanwhile never get one.
func (w *storeWay) set(a access) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.access == a {
		return
	}
	w.access = a
	close(w.changed)
	w.changed = make(chan struct{})
}

// slow has the store take long for its answers.
func (w *storeWay) slow(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.took = rigStore
	if on {
		w.took = rigSlow
	}
}

// call makes a call that waits for at most a time.
func (w *storeWay) call(ctx context.Context, t graniteknot.Topic, wait time.Duration, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+storeCall)
	defer cancel()
	w.mu.Lock()
	w.calls++
	if t == graniteknot.TopicReplicas {
		w.replicaReads++
	}
	how, took, changed := w.access, w.took, w.changed
	w.mu.Unlock()
	if how == accessHung {
		how = accessOpen
		if t == graniteknot.TopicSettings && wait > 0 {
			how = accessSilent
		}
	}
	switch how {
	case accessOpen, accessHung:
	case accessSilent:
		<-ctx.Done()
		return ctx.Err()
	case accessRefused:
		time.Sleep(rigStore)
		return fmt.Errorf("refused: %w", graniteknot.ErrNotDone)
	case accessReset:
		return net.ErrClosed
	}
	inner, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	var caller sync.WaitGroup
	caller.Go(func() { done <- do(inner) })
	defer caller.Wait()
	defer stop()
	select {
	case err := <-done:
		return w.late(ctx, took, err)
	case <-changed:
		return w.lost(ctx, done)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// late hands an answer over after the time on its way.
func (w *storeWay) late(ctx context.Context, took time.Duration, err error) error {
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lost waits for an answer that was under way when the access changed.
func (w *storeWay) lost(ctx context.Context, done <-chan error) error {
	w.mu.Lock()
	how := w.access
	w.mu.Unlock()
	if how == accessHung {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if how == accessReset || how == accessRefused {
		return net.ErrClosed
	}
	<-ctx.Done()
	return ctx.Err()
}

// Newest implements graniteknot.KeyedStore.
func (w *storeWay) Newest(ctx context.Context, t graniteknot.Topic) (page graniteknot.KeyedPage, err error) {
	err = w.call(ctx, t, 0, func(ctx context.Context) error {
		var err error
		page, err = w.KeyedStore.Newest(ctx, t)
		return err
	})
	return page, err
}

// Read implements graniteknot.KeyedStore.
func (w *storeWay) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (page graniteknot.KeyedPage, err error) {
	err = w.call(ctx, t, wait, func(ctx context.Context) error {
		var err error
		page, err = w.KeyedStore.Read(ctx, t, from, wait)
		return err
	})
	return page, err
}

// Append implements graniteknot.KeyedStore.
func (w *storeWay) Append(ctx context.Context, t graniteknot.Topic, r graniteknot.KeyedRecord) (at graniteknot.Position, err error) {
	err = w.call(ctx, t, 0, func(ctx context.Context) error {
		var err error
		at, err = w.KeyedStore.Append(ctx, t, r)
		return err
	})
	return at, err
}
