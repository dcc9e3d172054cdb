// Package sidecar is the process beside a target: it tells the gateways how busy
// its target is, gives the target the orders of its group's map keeper, and is
// that keeper when its turn comes. It is not on the way of requests.
package sidecar
