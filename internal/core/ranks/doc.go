// Package ranks maintains the expert map of a lock-step rank group: which rank holds which
// experts. Each sidecar runs an Executor, which reads its own rank and gives it orders. One
// sidecar also runs a Coordinator, which reads all ranks through the executors, plans a
// better map and switches the group to it. On the wire and in logs the coordinator is
// called the keeper, and its fencing token the fence.
//
// Package expertmap/held holds the switching protocol, package planner chooses the maps,
// and held.Rank is the connection to a rank.
package ranks
