package conns

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
)

const (
	// DefaultMaxHead bounds the heads that a request's response may begin with where the pool sets no
	// other bound.
	DefaultMaxHead = 64 << 10
	// MinMaxHead is the least bound that leaves room for the heads of sound replicas.
	MinMaxHead = 4 << 10
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 5
	// maxStaleBody bounds the bodies of responses to earlier requests that are read to reuse a
	// connection.
	maxStaleBody = 256 << 10
)

// errTooLarge is returned for a response that exceeds a bound before its body begins.
var errTooLarge = errors.New("exceeds the bound")

// errNotHTTP is returned for bytes with which no response begins.
var errNotHTTP = errors.New("not a response")

// headReader reads from a connection, and bounds what is read until the head of a response is
// complete.
type headReader struct {
	net     net.Conn
	bounded bool
	// left is how many more bytes may be read while bounded.
	left int
	// record, if it is set, gets what is read while bounded.
	record *bytes.Buffer
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.bounded {
		return h.net.Read(p)
	}
	if h.left <= 0 {
		return 0, errTooLarge
	}
	n, err := h.net.Read(p[:min(len(p), h.left)])
	h.left -= n
	if h.record != nil {
		h.record.Write(p[:n])
	}
	return n, err
}

// statusLineStart is what responses begin with; a zero stands for any digit.
const statusLineStart = "HTTP/1.0 000"

// checkStart reads the start of a status line without consuming it, and fails at the first byte with
// which no response goes on.
func checkStart(r *bufio.Reader) error {
	for i := range len(statusLineStart) {
		start, err := r.Peek(i + 1)
		if err != nil {
			if errors.Is(err, io.EOF) && i > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		want, got := statusLineStart[i], start[i]
		if digit := want == '0' && got >= '0' && got <= '9'; !digit && got != want {
			return errNotHTTP
		}
	}
	return nil
}
