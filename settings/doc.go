// Package settings is the tree that operators publish: its schema, its INI
// form, and immutable trees that answer what is in force.
//
// A tree has a root that both partners agree on, a branch for each partner,
// and leaves for services and client accounts. A leaf inherits what it does
// not set itself: account and service from their partner, the partner from
// the root, the root from the schema's defaults.
//
// Which changes are accepted, and in which order, is left to package fold.
package settings
