// Package claim decides, at one authority and with bounded memory, whether a
// request may start: a request that may not be repeated starts at most once,
// and one that was refused or withdrawn never starts.
//
// The authority keeps nothing when it dies. It therefore also decides by time:
//
//   - A key that names the authority's incarnation (by a ticket) can't have
//     been run by a former life, and is taken unless it is older than the
//     window in which keys are remembered.
//   - A key that carries only a time is taken when that time lies after the
//     authority's birth by more than MaxKeyAhead plus MaxClockSkew. A former life refused
//     keys from further ahead than MaxKeyAhead, so it can't have run this one,
//     whatever the caller's clock says.
//   - A key without either is taken once the authority is older than the
//     window.
//
// What is not taken for one of these reasons is answered VerdictMaybe, since a
// former life may have run it. Who is the authority of a request, and what
// callers are told, is left to the callers of this package.
package claim
