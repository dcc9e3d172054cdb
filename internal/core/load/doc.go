// Package load generates load. Its callers look up entry addresses, cache them
// until they expire, send each partner's items, and check every response
// against what the stand-in engines and services must return for it.
package load
