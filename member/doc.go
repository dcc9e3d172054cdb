// Package member keeps one process's view of who is alive, leaving, suspected
// or dead, in the manner of SWIM: each period a process probes one other,
// asks a few helpers when that fails, and carries news piggybacked on messages
// that are sent anyway. What a process sends does not grow with the number of
// members.
//
// A member overrules what others say of it by counting up its version; a
// process that comes back at the same address has a higher incarnation, which
// overrules everything said of its former life. Nothing is decided by the
// view: it only says whom to try.
//
// Sending messages, and when, is left to the callers.
package member
