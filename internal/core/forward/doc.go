// Package forward sends a client's request to replicas that are reached without an
// agent in between: it acquires a replica, sends the request with the replica's name,
// and forwards the response. It is the only layer on this path that retries. A request
// that must not run twice is retried only after proof that it did not run.
//
// Package gateway serves HTTP to clients, a Codec translates requests and responses,
// and package fleet chooses replicas.
package forward
