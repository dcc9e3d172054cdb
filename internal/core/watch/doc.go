// Package watch follows the topics of the platform's store. It reads the newest record of each
// key once, then polls for later records, and starts over when records were trimmed. It also
// tracks whether the store is available. Callers interpret the records.
package watch
