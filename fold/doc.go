// Package fold decides which settings changes are accepted: a pure function of
// the log's records and of the partners' public keys, the same at every
// process that folds the same prefix.
//
// A change names the version of its branch that it was made against. The
// first record against a version wins; a later one is refused as a clash.
// Because an accepted change moves its branch's version, a second copy of a
// record can never be accepted again, so appending twice is harmless.
// A root change is accepted once all partners signed the same text against
// the same version.
//
// Reading the log, publishing and spreading are left to others.
package fold
