// Package gateway is the process on an entry box that takes callers' requests
// straight to targets: it answers which addresses to use, knows the deployment
// from the platform's store, and hands requests to package forward. The words of
// the platform are left to a Translator.
package gateway
