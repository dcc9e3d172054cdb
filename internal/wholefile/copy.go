package wholefile

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"
)

// Copy is what one read of a file found.
type Copy struct {
	Text []byte

	// before and after are the file's times and sizes around the read.
	before, after Stamp
}

// Take reads a file once. The text may be a part of the file.
func Take(path string) (*Copy, error) {
	// Opening a pipe would wait for its writer.
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: expected a regular file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	if info, err = f.Stat(); err != nil {
		return nil, err
	}
	c := &Copy{before: stampOf(info)}
	if c.Text, err = io.ReadAll(f); err != nil {
		return nil, err
	}
	if info, err = f.Stat(); err != nil {
		return nil, err
	}
	c.after = stampOf(info)
	return c, nil
}

// Stamp returns the time and size of the file that was read.
func (c *Copy) Stamp() Stamp { return c.after }

// Equal reports whether two reads found the same text in a file that was not written in between.
func (c *Copy) Equal(other *Copy) bool {
	return c.after == other.after && bytes.Equal(c.Text, other.Text)
}

// rested reports whether the file had not been written for RestTime when it was read.
func (c *Copy) rested(now time.Time) bool {
	return c.before == c.after && now.Sub(c.after.changed()) >= RestTime
}
