// Package boottime tells for how long the box was suspended since the process started. Go's
// clocks stand still while it is, the kernel's CLOCK_BOOTTIME goes on; the difference only
// grows.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// every is for how long a reading counts for what is not decided by it: two system calls
// for each would be more than a request needs otherwise.
const every = 5 * time.Millisecond

var (
	start = time.Now()
	// read is when the clocks were last read, since start; 0 for never.
	read atomic.Int64
	// suspended is the greatest difference that was read, less first.
	suspended atomic.Int64
	// first is the difference as the process started.
	first, _ = difference()
)

// difference reads by how much the clock that counts suspensions is ahead. It is read
// first: whatever passes in between makes the difference less, and the greatest of all
// readings is the nearest.
func difference() (int64, bool) {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return boot.Nano() - steady.Nano(), true
}

// Suspended returns for how long the box was suspended, as of at most 5 ms of its running
// ago.
func Suspended() time.Duration {
	now, last := int64(time.Since(start)), read.Load()
	if last != 0 && now >= last && now-last < int64(every) {
		return time.Duration(suspended.Load())
	}
	read.Store(max(now, 1))
	return Exact()
}

// Exact returns the same as of now. Where the kernel does not tell it is 0.
func Exact() time.Duration {
	read, told := difference()
	if !told {
		return time.Duration(suspended.Load())
	}
	now := read - first
	for {
		known := suspended.Load()
		if now <= known {
			return time.Duration(known)
		}
		if suspended.CompareAndSwap(known, now) {
			return time.Duration(now)
		}
	}
}
