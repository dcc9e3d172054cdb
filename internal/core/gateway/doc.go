// Package gateway implements the gateway process on an entry box, which sends callers'
// requests straight to targets. It answers address queries, follows the configuration and the
// replicas in the platform's store, and forwards requests through package forward. A
// Translator converts between the platform's formats and the product's.
package gateway
