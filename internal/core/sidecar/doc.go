// Package sidecar is the process on a target's box. It reports the target's load to the gateways,
// passes the orders of its group's map coordinator to the target, and takes over as coordinator when
// the present one fails. Requests do not pass through it.
package sidecar
