// Package ranks keeps the expert map of a lock-step group whose ranks obey
// orders: each sidecar runs a Doer before its own rank, and one of them a Keeper,
// which reads all ranks through the Doers, plans, and switches. How a switch goes
// is decided by package expertmap/held, which map is worth it by package planner,
// and how a rank is spoken to by a Rank.
package ranks
