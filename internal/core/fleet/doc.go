// Package fleet tracks the replicas of each service: which are registered, how
// busy they are by their reports and by this process's own requests, and which
// failed recently. It chooses the replica for a request; callers send the requests.
// A life of a replica is one run of its process.
package fleet
