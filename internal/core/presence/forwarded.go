package presence

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
)

const (
	// fullReportInterval is the longest time between two full reports of a replica that a relay
	// forwards. A gateway that missed the last one has an older load for that long.
	fullReportInterval = 2 * time.Second
	// Reports whose pass times or forecasts differ by no more than these shares say the same.
	passTolerance = 0.25
	skewTolerance = 0.05
)

// forwardedReport is the last full report of a replica that a relay forwarded.
type forwardedReport struct {
	report LoadReport
	at     time.Time
}

// repeats reports whether a report says the same as the one that was forwarded, and that one is
// recent enough.
func (f *forwardedReport) repeats(r *LoadReport, now time.Time) bool {
	old := &f.report
	return now.Sub(f.at) < fullReportInterval &&
		r.Running == old.Running && r.Waiting == old.Waiting && r.GroupOpen == old.GroupOpen && r.Loading == old.Loading && r.LifeMark == old.LifeMark &&
		within(float64(r.PassMicros), float64(old.PassMicros), passTolerance) &&
		within(float64(r.Pace), float64(old.Pace), skewTolerance) && within(float64(r.Skew), float64(old.Skew), skewTolerance)
}

// within reports whether two values differ by at most a share of the larger one.
func within(a, b, share float64) bool { return math.Abs(a-b) <= share*math.Max(a, b) }

// TargetHash identifies a replica's address in bundles. Two replicas with the same hash get each
// other's repeated reports counted as theirs, until the next full one of either.
func TargetHash(a graniteknot.Address) uint32 { return uint32(xxhash.Sum64String(string(a))) }
