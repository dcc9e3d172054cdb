// Package presence lets the processes of the system know each other: each writes
// itself into the platform's store once, and tells the others by datagrams that
// it lives, what it is ready for, and how busy its replica is. What follows from
// that is left to the callers.
package presence
