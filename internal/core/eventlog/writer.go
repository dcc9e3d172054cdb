package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"graniteknot.org/go/internal/group"
)

const (
	// maxBuffered bounds the lines that are buffered, in bytes.
	maxBuffered = 256 << 10
	// flushPeriod is how long lines are collected before they are written together.
	flushPeriod = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Create it with NewWriter.
type Writer struct {
	out io.Writer

	mu sync.Mutex
	// buffered holds whole lines, at most maxBuffered bytes.
	buffered []byte
	// dropped counts the lines that did not fit and are not reported yet, totalDropped all that
	// did not fit.
	dropped, totalDropped uint64
	// written counts the bytes accepted.
	written uint64

	wake  chan struct{}
	group group.Group
}

// NewWriter returns a writer that copies lines to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	w.group.Go(w.run)
	return w
}

// Write accepts one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > maxBuffered {
		w.dropped++
		w.totalDropped++
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	w.written += uint64(len(line))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines did not fit.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Written returns how many bytes were accepted.
func (w *Writer) Written() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// Close writes the buffered lines, for at most the given time.
func (w *Writer) Close(timeout time.Duration) {
	done := make(chan struct{})
	var last group.Group
	last.Go(func(context.Context) {
		w.group.Stop()
		w.flush()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPeriod):
		}
		w.flush()
	}
}

// flush may block for as long as the output does; Write does not wait for it.
func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	// An error of the log's own output cannot be logged.
	_, _ = w.out.Write(lines)
}
