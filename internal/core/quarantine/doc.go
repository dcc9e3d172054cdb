// Package quarantine knows which requests end the replicas that run them. A request
// comes again under another id, at any box: what makes two the same is a Key. A Table
// holds, by key, the lives of replicas that ended while they worked on the request, and
// merges what other processes hold, in any order and as often as it comes, to the same.
//
// Finding out that a replica has ended is left to package forward, telling other
// processes and keeping records to package gateway.
package quarantine
