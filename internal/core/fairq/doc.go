// Package fairq shares the slots of one target between partners, and inside a
// partner between flows (a service and client account), where all entries
// meet: at the agent.
//
// A free slot goes to the partner that holds the fewest slots for its share.
// What a partner does not use the other may borrow. When a partner below its
// share waits, the borrower's youngest work that can be resumed is asked to
// yield. Inside a partner urgent work goes first, and flows of one priority
// are served by start-time fair queuing over tokens.
//
// Running the work, and resuming what yielded, is left to package serve.
package fairq
