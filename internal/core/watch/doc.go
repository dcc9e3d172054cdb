// Package watch follows the topics of the platform's store: it reads the newest
// record of each key once, then reads on, and begins again when records were
// trimmed. It knows since when the store answers. What records mean is left to
// the callers.
package watch
