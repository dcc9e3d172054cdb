// Package relay is the entry's core: it takes one request through its
// attempts to its one outcome.
//
// A request that may be repeated is tried at one target after another, and a
// broken stream is resumed at the next token. A request that may not be
// repeated is decided by one authority: the agent that its ticket names, the
// one that its key falls to, or, when the caller gave no key, one that the
// entry chose. Its attempts all go to the authority, which joins them, until
// the authority proves that it never ran.
//
// This is the only layer that retries. HTTP towards callers is left to
// package entry, HTTP towards agents to package link.
package relay
