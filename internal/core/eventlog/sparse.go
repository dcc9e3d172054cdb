package eventlog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// maxSparseLines is how many lines a Sparse writes within sparsePeriod: some 30 bytes a
	// second.
	maxSparseLines = 10
	sparsePeriod   = time.Minute
	// maxSparseSubjects bounds the subjects whose last cause is kept.
	maxSparseSubjects = 256
)

// Sparse limits the rate of log lines that other processes can cause: one for each change of a
// subject's cause, and few within a minute. The next line reports how many were suppressed. The
// zero value is ready to use.
type Sparse struct {
	mu sync.Mutex
	// last is the cause of each subject's last line.
	last map[string]string
	// lines were written since periodStart; suppressed ones were not.
	lines, suppressed int
	periodStart       time.Time
}

// Warn logs a line about a subject unless its cause is the same as the last time.
func (s *Sparse) Warn(l *Log, event, subject, cause string, fields ...slog.Attr) {
	suppressed, write := s.allow(event+"\x00"+subject, cause, time.Now())
	if !write {
		return
	}
	fields = append(fields, slog.String("subject", subject), slog.String("error", cause))
	if suppressed > 0 {
		fields = append(fields, slog.Int("left_out", suppressed))
	}
	l.Warn(event, fields...)
}

// allow reports whether a line is to be written, and how many were suppressed before it.
func (s *Sparse) allow(subject, cause string, now time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last[subject] == cause {
		s.suppressed++
		return 0, false
	}
	if s.last == nil || len(s.last) >= maxSparseSubjects {
		s.last = map[string]string{}
	}
	s.last[subject] = cause
	if now.Sub(s.periodStart) >= sparsePeriod {
		s.lines, s.periodStart = 0, now
	}
	if s.lines >= maxSparseLines {
		s.suppressed++
		return 0, false
	}
	suppressed := s.suppressed
	s.lines, s.suppressed = s.lines+1, 0
	return suppressed, true
}
