package watch

import (
	"context"
	"errors"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/meter"
)

// MeteredStore counts the calls to a store by kind and result.
type MeteredStore struct {
	Store graniteknot.KeyedStore
	Meter *meter.Meter
}

// Newest implements graniteknot.KeyedStore.
func (m *MeteredStore) Newest(ctx context.Context, t graniteknot.Topic) (graniteknot.KeyedPage, error) {
	began := time.Now()
	page, err := m.Store.Newest(ctx, t)
	m.note("newest", t, began, err)
	return page, err
}

// Read implements graniteknot.KeyedStore.
func (m *MeteredStore) Read(ctx context.Context, t graniteknot.Topic, from graniteknot.Position, wait time.Duration) (graniteknot.KeyedPage, error) {
	began := time.Now()
	page, err := m.Store.Read(ctx, t, from, wait)
	m.note("read", t, began, err)
	return page, err
}

// Append implements graniteknot.KeyedStore.
func (m *MeteredStore) Append(ctx context.Context, t graniteknot.Topic, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	began := time.Now()
	at, err := m.Store.Append(ctx, t, r)
	m.note("append", t, began, err)
	return at, err
}

// AppendAt implements graniteknot.KeyedStore.
func (m *MeteredStore) AppendAt(ctx context.Context, t graniteknot.Topic, end graniteknot.Position, r graniteknot.KeyedRecord) (graniteknot.Position, error) {
	began := time.Now()
	at, err := m.Store.AppendAt(ctx, t, end, r)
	m.note("append_at", t, began, err)
	return at, err
}

func (m *MeteredStore) note(op string, t graniteknot.Topic, began time.Time, err error) {
	labels := []meter.Label{{Name: "call", Value: op}, {Name: "topic", Value: string(t)}}
	m.Meter.Observe("graniteknot_store_call_seconds", time.Since(began), labels...)
	m.Meter.Count("graniteknot_store_calls_total", append(labels, meter.Label{Name: "result", Value: resultOf(err)})...)
}

// resultOf is a call's result in a word.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, graniteknot.ErrNotDone):
		return "refused"
	case errors.Is(err, graniteknot.ErrTrimmed):
		return "trimmed"
	case errors.Is(err, graniteknot.ErrMoved):
		return "moved"
	}
	return "lost"
}
