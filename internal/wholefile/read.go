package wholefile

import (
	"errors"
	"fmt"
	"time"
)

const (
	// Interval is the time between two reads of a file that must find the same.
	Interval = 200 * time.Millisecond
	// StartInterval is the same where a process starts, which its callers lack meanwhile.
	StartInterval = 50 * time.Millisecond
	// startTimeout is how long a start waits for whoever writes the file.
	startTimeout = 2 * time.Second
	// RestTime is how long a file has not been written that one read is enough for. Its time may be
	// set by the writer, but not while it writes.
	RestTime = 2 * time.Second
)

// ErrChanging is returned for a file that is being written.
var ErrChanging = errors.New("the file is being written")

// Read reads a file that nobody has written for RestTime, or between two reads.
func Read(path string) ([]byte, error) { return read(path, Interval, 0) }

// ReadAtStart is Read for the settings of a process that starts, which are often written just before.
// It waits for a writer for two seconds.
func ReadAtStart(path string) ([]byte, error) { return read(path, StartInterval, startTimeout) }

// read tries again until the timeout is over.
func read(path string, interval, timeout time.Duration) ([]byte, error) {
	deadline := time.Now().Add(timeout)
	last, err := Take(path)
	if err != nil {
		return nil, err
	}
	for !last.rested(time.Now()) {
		time.Sleep(interval)
		next, err := Take(path)
		if err != nil {
			return nil, err
		}
		if next.Equal(last) {
			break
		}
		if !time.Now().Before(deadline) {
			return nil, fmt.Errorf("%s: %w", path, ErrChanging)
		}
		last = next
	}
	return last.Text, nil
}
