package forward

import (
	"bytes"
)

// splitter cuts a stream of bytes after whole events (text/event-stream). The
// zero value works.
type splitter struct {
	// rest is the beginning of an event that is not whole.
	rest []byte
	// last is the id of the last whole event that had one.
	last EventID
}

var (
	blank  = []byte("\n\n")
	blank2 = []byte("\r\n\r\n")
	idLine = []byte("id:")
)

// add takes bytes and returns the events that are whole now.
func (s *splitter) add(b []byte) []byte {
	s.rest = append(s.rest, b...)
	end := max(after(s.rest, blank), after(s.rest, blank2))
	if end == 0 {
		return nil
	}
	whole := s.rest[:end:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	s.note(whole)
	return whole
}

// after returns the index behind the last separator, 0 when there is none.
func after(b, separator []byte) int {
	if i := bytes.LastIndex(b, separator); i >= 0 {
		return i + len(separator)
	}
	return 0
}

// note keeps the last id among whole events.
func (s *splitter) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		if value, ok := bytes.CutPrefix(line, idLine); ok {
			s.last = EventID(bytes.TrimSpace(value))
		}
	}
}

// empty tells whether no part of an event waits.
func (s *splitter) empty() bool { return len(bytes.TrimSpace(s.rest)) == 0 }
