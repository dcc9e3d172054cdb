package eventlog

import (
	"context"
	"log/slog"
	"time"

	"k8s.io/klog/v2"

	graniteknot "graniteknot.org/go"
)

// Log writes the events of one process. The zero value writes nothing.
type Log struct {
	logger *slog.Logger
}

// New returns a log whose lines name the box and the role. It also becomes the output of klog.
func New(w *Writer, box graniteknot.BoxName, role string) *Log {
	logger := slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})).
		With("box", string(box), "role", role)
	klog.SetSlogLogger(logger)
	return &Log{logger: logger}
}

// Info logs an expected event.
func (l *Log) Info(event string, fields ...slog.Attr) { l.write(slog.LevelInfo, event, fields) }

// Warn logs an event that affects callers or operators.
func (l *Log) Warn(event string, fields ...slog.Attr) { l.write(slog.LevelWarn, event, fields) }

func (l *Log) write(level slog.Level, event string, fields []slog.Attr) {
	if l == nil || l.logger == nil {
		return
	}
	l.logger.LogAttrs(context.Background(), level, event, fields...)
}

// Milliseconds returns a field in milliseconds, with microsecond precision.
func Milliseconds(name string, d time.Duration) slog.Attr {
	const micros = 1000
	return slog.Float64(name+"_ms", float64(d.Microseconds())/micros)
}
