// Package presence implements membership: each process registers once in the platform's
// store and reports to the others by datagrams that it is alive, whether it is ready and how
// loaded its replica is. Callers decide what follows from that.
package presence
