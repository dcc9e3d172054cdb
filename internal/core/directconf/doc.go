// Package directconf reads the INI settings of a process that works straight
// on targets: a gateway on an entry box, or a sidecar beside a target. Where the
// file comes from is left to the command line.
package directconf
