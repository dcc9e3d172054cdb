// Package limit bounds what client accounts use: requests a second, tokens a
// second, and requests at once.
//
// The limits of an account are held at its home, one of the partner's
// processes, which lends them out in small amounts that lapse if they are not
// used. What is lent comes out of one bucket, so the amounts together never
// pass the limit. A home lends in proportion to the processes that it sees of
// all there are, so homes on two sides of a parted network lend no more
// together than one would. A process that can't reach a home has a small floor
// of its own.
//
// A Lender is a home's part, an Account the part of a process that admits
// requests. Choosing the home, and asking it, is left to the callers.
package limit
