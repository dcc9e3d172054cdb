// Package demand sums up what all gateways know of the requests for a service: how many
// arrive, wait and run, by urgency and by client account. Each gateway sends a summary of its
// own requests with its heartbeats; admission, queueing and retry delays are decided by the sums.
package demand
