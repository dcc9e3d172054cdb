// Package fairshare computes the max-min fair shares of accounts that compete for a capacity.
//
// The shares follow from a single number, the water level: an account whose demand is at most
// the level gets all that it asks for, and each other one gets the level. What an account does
// not use raises the level for the others.
package fairshare
