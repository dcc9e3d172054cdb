package presence

import "time"

const (
	// leastDigestPeriod is the time between two digests of a sidecar to a gateway in
	// a small deployment: about a pass of the engines, in which their load changes.
	leastDigestPeriod = 120 * time.Millisecond
	// mostDigestPeriod bounds it: a gateway has to notice soon when a target is cut
	// off.
	mostDigestPeriod = 400 * time.Millisecond
	// digestRate is how many digests a second one sidecar sends at most, to all
	// gateways together, before the period grows. Each crosses a zone's border for
	// two gateways in three, where bytes are dear.
	digestRate = 100
)

// RelayedReportInterval is the time between two digests of a sidecar to relays: two of its looks
// at its rank.
const RelayedReportInterval = 240 * time.Millisecond

// ReportInterval is the time between two digests of a sidecar to each of so many
// gateways. Both sides work it out.
func ReportInterval(gateways int) time.Duration {
	return min(max(leastDigestPeriod, time.Duration(gateways)*time.Second/digestRate), mostDigestPeriod)
}
