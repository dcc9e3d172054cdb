// Package losses counts, from the log files of all processes, which requests were
// refused, lost or late, in which second they came, and why. Every request has one
// cause, so the counts add up. The story of a single request is left to package
// explain.
package losses
