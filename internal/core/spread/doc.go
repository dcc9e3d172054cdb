// Package spread brings accepted settings to every process: a few read the
// log, the others learn from their peers.
//
// A Store holds the fold of the log and only ever moves forward, so a process
// can't take an older tree for a newer one, whoever it hears from and however
// long it was apart. Peers pass on the log's own records, or the signed
// changes of a snapshot, and each process folds and proves them itself.
//
// Which peers to ask, and the calls, are left to package node.
package spread
