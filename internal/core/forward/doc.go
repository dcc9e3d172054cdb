// Package forward takes one caller's request to replicas that need no agent
// before them: it chooses a replica, names it in the request, sends it, and
// passes the answer on. It is the only layer that tries again here, and a
// request that may not run twice is tried again only after proof that it did not
// run.
//
// HTTP towards callers is left to package edge, the words of requests and
// answers to a Dialect, the choice of replicas to package fleet.
package forward
