// Package soak tests gateways as real processes on loopback, against stand-ins of the platform's
// store and replicas, and injects faults drawn from a seed: processes are killed, stopped,
// suspended and reloaded; the store and the connections to it fail; replicas lose responses, leave,
// are replaced and start cold; keys are revoked; zones are evacuated. It compares what callers and
// replicas observed with what the product guarantees. It ends only processes that it started.
// Runs of lock-step groups have sidecars in place of gateways: these are paused, killed and stopped while
// the ranks carry out and answer calls late.
package soak
