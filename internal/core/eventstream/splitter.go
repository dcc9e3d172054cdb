package eventstream

import "bytes"

// Splitter splits a text/event-stream into complete events, each of which ends with an empty line; lines end in LF or
// CRLF. The zero value is ready to use.
type Splitter struct {
	// buffer holds an incomplete event from done on; what is before was returned.
	buffer []byte
	done   int
}

// Feed adds bytes and returns the events that are complete now, with the empty lines that end them. The result
// is valid until the next call and while b is unchanged.
func (s *Splitter) Feed(b []byte) []byte {
	if s.Partial() == 0 {
		s.buffer, s.done = s.buffer[:0], 0
		end := endOfLast(b, 0)
		s.buffer = append(s.buffer, b[end:]...)
		return b[:end]
	}
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.done:])]
	// An empty line ends in the added bytes, or it would have been found before.
	from := len(s.buffer)
	s.buffer = append(s.buffer, b...)
	s.done = endOfLast(s.buffer, from)
	return s.buffer[:s.done]
}

// Partial returns the number of bytes held of an incomplete event.
func (s *Splitter) Partial() int { return len(s.buffer) - s.done }

// AtBoundary reports whether no event is incomplete.
func (s *Splitter) AtBoundary() bool { return len(bytes.TrimSpace(s.buffer[s.done:])) == 0 }

// endOfLast returns the index after the last empty line that ends at an index or later, 0 if there is none.
func endOfLast(b []byte, from int) int {
	for end := len(b); ; {
		i := bytes.LastIndexByte(b[from:end], '\n')
		if i < 0 {
			return 0
		}
		end = from + i
		if line := trimCR(b[:end]); len(line) == 0 || line[len(line)-1] == '\n' {
			return end + 1
		}
	}
}

// nextEvent returns the first event of complete ones, with the empty line that ends it.
func nextEvent(complete []byte) []byte {
	for at := 0; ; {
		end := bytes.IndexByte(complete[at:], '\n')
		if end < 0 {
			return complete
		}
		line := complete[at : at+end]
		at += end + 1
		if len(trimCR(line)) == 0 {
			return complete[:at]
		}
	}
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }
