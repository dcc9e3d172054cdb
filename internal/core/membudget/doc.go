// Package membudget counts the bytes that a process holds for its peers, and bounds their sum.
package membudget
