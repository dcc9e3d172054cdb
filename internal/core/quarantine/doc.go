// Package quarantine tracks what crashes the replicas that run it: a request, or a part of
// the prompts of many requests. A request returns under another ID, possibly through
// another gateway; a Key identifies it by its content, and a prompt part by the model and
// its hash. A Table records, by key, the replicas that crashed while they worked on the
// request or on one with the part. Tables of several processes converge: merges may come in
// any order, and more than once.
//
// A crash does not tell which of the requests in progress caused it, nor which part of
// their prompts. A part is quarantined once it was in progress at several crashes that no
// other quarantined part explains, and replicas have outlived no request with it since.
//
// Package forward detects the crashes; package gateway exchanges entries with other
// processes and stores the records.
package quarantine
