package eventlog

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// sparseLines is how many lines a Sparse writes within sparseSpan: some 30 bytes a
	// second at most.
	sparseLines = 10
	sparseSpan  = time.Minute
	// mostSparse bounds the subjects whose last line is remembered.
	mostSparse = 256
)

// Sparse writes lines that other processes can cause at will: one for each change of a
// subject, and few within a minute. How many were left out is told with the next. The zero
// value works.
type Sparse struct {
	mu sync.Mutex
	// last is the cause of each subject's last line.
	last map[string]string
	// lines were written since the time; left were left out.
	lines, left int
	since       time.Time
}

// Warn writes a line about a subject unless its cause is the same as the last time's.
func (s *Sparse) Warn(l *Log, event, subject, cause string, fields ...slog.Attr) {
	left, write := s.note(event+"\x00"+subject, cause, time.Now())
	if !write {
		return
	}
	fields = append(fields, slog.String("subject", subject), slog.String("error", cause))
	if left > 0 {
		fields = append(fields, slog.Int("left_out", left))
	}
	l.Warn(event, fields...)
}

// note tells whether a line is to be written, and how many were left out before it.
func (s *Sparse) note(subject, cause string, now time.Time) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last[subject] == cause {
		s.left++
		return 0, false
	}
	if s.last == nil || len(s.last) >= mostSparse {
		s.last = map[string]string{}
	}
	s.last[subject] = cause
	if now.Sub(s.since) >= sparseSpan {
		s.lines, s.since = 0, now
	}
	if s.lines >= sparseLines {
		s.left++
		return 0, false
	}
	left := s.left
	s.lines, s.left = s.lines+1, 0
	return left, true
}
