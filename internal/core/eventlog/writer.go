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
	// bufferBytes bounds the lines that wait for the output.
	bufferBytes = 256 << 10
	// flushPeriod is how long a line waits for others to be written with.
	flushPeriod = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Make it with NewWriter.
type Writer struct {
	out io.Writer

	mu sync.Mutex
	// waiting is at most bufferBytes long and holds whole lines.
	waiting []byte
	// dropped counts the lines that did not fit and are not told yet.
	dropped uint64
	// total counts all lines that did not fit.
	total uint64
	// written counts the bytes that were taken.
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

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > bufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.written += uint64(len(line))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped counts the lines that did not fit.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Written counts the bytes that were taken.
func (w *Writer) Written() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// Close writes what waits, for at most the given time.
func (w *Writer) Close(bound time.Duration) {
	done := make(chan struct{})
	var last group.Group
	last.Go(func(context.Context) {
		w.group.Stop()
		w.flush()
		close(done)
	})
	select {
	case <-done:
	case <-time.After(bound):
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
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	// There is nobody to tell that the log's own output fails.
	_, _ = w.out.Write(lines)
}
