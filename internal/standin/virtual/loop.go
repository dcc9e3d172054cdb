// Package virtual runs events in virtual time, in one goroutine and the same
// order every time, for measurements over many small models.
package virtual

import (
	"container/heap"
	"time"
)

// epoch is when virtual time begins.
var epoch = time.Unix(1_800_000_000, 0)

// Loop is a queue of events. The zero value begins at time 0.
type Loop struct {
	now    time.Duration
	events events
	// count keeps events of one time in the order in which they were added.
	count uint64
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	count uint64
	do    func()
}

// events is a heap, the next event on top.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].count < e[j].count
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // Only Loop pushes.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Now returns the virtual time since the begin.
func (l *Loop) Now() time.Duration { return l.now }

// Clock returns the virtual time as a wall clock would.
func (l *Loop) Clock() time.Time { return epoch.Add(l.now) }

// After lets something happen after a time.
func (l *Loop) After(d time.Duration, do func()) {
	l.count++
	heap.Push(&l.events, event{at: l.now + d, count: l.count, do: do})
}

// Step lets the next event happen; false when there is none.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	e, _ := heap.Pop(&l.events).(event)
	l.now = e.at
	e.do()
	return true
}

// Run lets everything happen until a time has passed.
func (l *Loop) Run(d time.Duration) {
	until := l.now + d
	for len(l.events) > 0 && l.events[0].at <= until {
		l.Step()
	}
	l.now = until
}
