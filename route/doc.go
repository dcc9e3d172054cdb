// Package route chooses the target of a request from what an entry knows:
// load reports that lag, corrected by the entry's own dispatches since, and
// prefix caches that are known late and with gaps.
//
// A Table holds what is known of each target; a Policy chooses among them.
// Weighted is ours; Random, RoundRobin, LeastReported and TwoChoices are the
// baselines it is measured against. Telling the table what happened, and
// trying again, is left to the callers.
package route
