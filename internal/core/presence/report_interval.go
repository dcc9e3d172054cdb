package presence

import "time"

const (
	// minReportInterval is the time between two load reports of a sidecar to a gateway in a
	// small deployment: about the duration of an engine's pass, in which its load changes.
	minReportInterval = 120 * time.Millisecond
	// maxReportInterval bounds the interval: a gateway has to detect soon that a target is
	// unreachable.
	maxReportInterval = 400 * time.Millisecond
	// maxReportsPerSecond is the rate of a sidecar's reports to all gateways together above
	// which the interval grows: two in three gateways are in another availability zone, and
	// traffic between zones is expensive.
	maxReportsPerSecond = 100
)

// RelayedReportInterval is the time between two load reports of a sidecar to relays: two
// polls of its rank.
const RelayedReportInterval = 240 * time.Millisecond

// ReportInterval is the time between two load reports of a sidecar to each of a number of
// gateways. Sidecars and gateways both compute it.
func ReportInterval(gateways int) time.Duration {
	return min(max(minReportInterval, time.Duration(gateways)*time.Second/maxReportsPerSecond), maxReportInterval)
}
