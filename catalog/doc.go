// Package catalog models a deployment: services, routes, client accounts with their keys, and
// registered replicas. A Tree is immutable; a Holder keeps the newest one and how long ago it was
// confirmed to be the newest. Callers obtain trees and replica records.
package catalog
