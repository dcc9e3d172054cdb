// Package orders gives a target its orders: one at a time, with the work drained
// before and taken up again after, and fenced.
//
// The fence travels with each order. Not all targets check it; for those that
// don't, two things stand in. One process only can hold the slot's address, so
// while a former agent lives, paused or not, there is no new one. And an order
// that a dead agent had sent may still arrive, but not after its life: a new
// agent waits that long before its first order, and then sends what it wants
// also if the target might have it already.
//
// What is wanted comes from the settings; that is left to package agent.
package orders

import "time"

// Life bounds how long an order may be on its way or under way at a target.
const Life = 30 * time.Second

// skew bounds what the clocks of a box's processes and of its target differ by.
const skew = time.Second

// retryPause is the wait before an order that failed is given again.
const retryPause = time.Second

// drainPoll is how often the queue is asked whether it is empty.
const drainPoll = 10 * time.Millisecond

// checksPoll is how often a wait looks whether the target checks fences by now.
const checksPoll = 100 * time.Millisecond
