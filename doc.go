// Package graniteknot holds the vocabulary that every part of the load
// balancer shares: names, units, outcomes, and the interfaces towards the
// platform and the targets.
//
// Implementations live below this package. Stand-ins for tests and for the
// dev role are in internal/standin; the daemons are in internal/core.
// The parts that other programs may embed are the packages claim, route,
// limit, member, settings, planner and expertmap.
package graniteknot
