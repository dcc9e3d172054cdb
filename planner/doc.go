// Package planner places the experts of a rank group: from recent token counts
// and the present placement to an ordered list of moves.
//
// A group advances in lock-step: in each layer the slowest rank sets the time.
// Skew is the sum over layers of the largest rank load, over the sum of the
// mean rank loads; 1 is even. Hot experts may have replicas, which share their
// tokens evenly, within the slots that each rank has.
//
// The planner changes a placement only where the gain in skew, weighed with
// the partners' weights, outweighs the moves, so that noise moves nothing.
// It gives the moves in batches: within each, no rank stages more experts than
// it has room for, and after each, every expert has a replica. How a group
// switches from one map to the next is left to package expertmap.
//
// FullReplan and LowerBound are what it is measured against.
package planner
