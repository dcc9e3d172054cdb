// Package directapp puts the parts of a gateway or a sidecar together with fx,
// in the order in which they start and stop.
package directapp
