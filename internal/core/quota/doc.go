// Package quota deals out limits that hold over all processes together: a replica names how
// many requests a second it takes, and each of many gateways knows only what it sends itself.
package quota
