// Package catalog holds what a deployment routes: services, routes, client
// accounts with their keys, and the replicas that are registered. A Tree is
// immutable; Holder keeps the newest one and how long ago it was proved to be
// the newest. Where trees and replica records come from is left to the callers.
package catalog
