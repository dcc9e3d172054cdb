// Package serve is the agent's core: the only way to its target. It admits,
// claims, queues, runs, keeps answers for those who join, and withdraws.
//
// The order is claim, queue, start: a request that can't be claimed never
// waits, and one that was withdrawn while it waited never starts. Answers are
// kept in flights, so that the target's pace does not depend on readers.
//
// Listening on the network is left to package link, the parts of a process to
// package agent.
package serve
