// Package expertmap switches a lock-step rank group from one expert map to the
// next so that in every step all ranks use the same one, whatever fails.
//
// The keeper stands beside the group's first rank. It has all ranks load the
// weights of the new map, arms all of them at a step, and commits once all are
// armed. A rank that reaches the armed step without a word holds: it runs
// neither with the old map nor with the new one until the keeper says which. A
// lock-step group needs all its ranks to go on anyhow, so reading and writing
// all of them costs no availability.
//
// A new keeper has a higher incarnation. It reads all ranks, each of which
// from then on ignores the former keeper; then it completes a switch that any
// rank knows to be committed, or aborts one that none does. When a rank was
// replaced by one that knows nothing, the keeper forms the group anew under the
// next group number: ranks halt, and go on together once all are ready.
//
// Coordinator and Rank are state machines: messages in, messages out. Any message
// may be lost, late, doubled or reordered; Tick sends again what is not
// answered. Carrying messages, and loading weights, is left to the callers. No
// log and no settings are on this path.
package expertmap
