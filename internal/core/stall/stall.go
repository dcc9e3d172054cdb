// Package stall writes to connections whose peers may stop reading.
package stall

import (
	"errors"
	"net"
	"os"
	"time"
)

// ErrUnread is returned for a write that its peer did not read.
var ErrUnread = errors.New("the peer does not read")

// step is the time between two attempts of a blocked write. A blocked socket reports that it is
// writable only once a third of its send buffer is free, which a slow reader may take seconds for;
// a new attempt uses any free space.
const step = 100 * time.Millisecond

// Write writes all of b, unless nothing is written for longer than limit; 0 is no limit. It counts
// its own steps, so that time for which the process was stopped does not count. It sets the write
// deadline of the connection.
func Write(c net.Conn, b []byte, limit time.Duration) (int, error) {
	if limit <= 0 {
		return c.Write(b)
	}
	sent, steps := 0, int(limit/step)
	for blocked := 0; ; {
		if err := c.SetWriteDeadline(time.Now().Add(step)); err != nil {
			return sent, err
		}
		n, err := c.Write(b[sent:])
		sent += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return sent, err
		}
		blocked++
		if n > 0 {
			blocked = 0
		}
		if blocked >= steps {
			return sent, ErrUnread
		}
	}
}
