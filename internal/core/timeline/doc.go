// Package timeline keeps each process's recent events under a hybrid logical
// clock, merges the events of many processes into one line in which causes
// come before effects, and writes it as text, JSON lines or the Chrome trace
// format.
//
// Collecting the events of other processes is left to the operator commands.
package timeline
