// Package quarantine tracks requests that crash the replicas that run them. Such a
// request returns under another ID, possibly through another gateway; a Key identifies
// it by its content. A Table records, by key, the replicas that crashed while they
// worked on the request. Tables of several processes converge: merges may come in any
// order, and more than once.
//
// Package forward detects the crashes; package gateway exchanges entries with other
// processes and stores the records.
package quarantine
