// Package entry is what callers meet: the address answers, the OpenAI-shaped
// completion calls, and the plain services. It proves who calls, checks what
// is asked, holds the limits, and writes answers and errors. What becomes of a
// request is decided in package relay.
package entry

import "time"

// Header and trailer names of the callers' interface.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderRepeatable = "Graniteknot-Repeatable"
	HeaderTry        = "Graniteknot-Try"
	HeaderOutcome    = "Graniteknot-Outcome"
	HeaderRequestID  = "Graniteknot-Request-Id"
)

// The pace of the entry's own work.
const (
	// wordPeriod is how often the tables learn what the members and the box
	// list say.
	wordPeriod = 250 * time.Millisecond
	// reportPeriod is how often a few targets are asked for their load.
	reportPeriod = 250 * time.Millisecond
	// reportsEach is how many targets are asked each time; those heard from
	// longest ago come first.
	reportsEach = 2
	// reportFresh is how old a report has to be before it is asked for again.
	reportFresh = time.Second
	// reportTime bounds one call for a report.
	reportTime = 500 * time.Millisecond
)
