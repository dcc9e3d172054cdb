// Package fleet knows the replicas of each service: which are registered, how
// busy they are by their reports and by this process's own requests, and which
// have failed of late. It chooses the replica for a request. Sending requests is
// left to the callers.
package fleet
