package soak

import (
	"graniteknot.org/go/platform/platformtest"
)

const (
	// faultyStreams is which share of streams has a fault: one in so many.
	faultyStreams = 4
	// streamReplicaEnds is which share of faulty streams ends its replica: one in so many.
	streamReplicaEnds = 16
	// eventStreamsStream is the random stream for streams of events.
	eventStreamsStream = endlessStream + 100
)

// anyStreamFaults may be those of any attempt, resumptionFaults only those of one that goes on from an event.
var (
	anyStreamFaults = []platformtest.StreamFault{
		platformtest.StreamResetInEvent, platformtest.StreamClosedInEvent, platformtest.StreamClosed, platformtest.StreamSurplus,
		platformtest.StreamSpoiled, platformtest.StreamHeadAmongEvents, platformtest.StreamRepeatsEvent, platformtest.StreamGoesBack,
	}
	resumptionFaults = []platformtest.StreamFault{
		platformtest.StreamIgnoresLastID, platformtest.StreamStartsAnew, platformtest.StreamOtherType, platformtest.StreamEncoded,
		platformtest.StreamNotFound,
	}
)

// drawStreamPlan draws a plan with any fault, in a quarter of the attempts.
func drawStreamPlan(a streamAttempt) platformtest.StreamPlan {
	random := a.random
	p := platformtest.StreamPlan{Unframed: random.IntN(faultyStreams) == 0}
	switch {
	case random.IntN(faultyStreams) > 0:
	case random.IntN(streamReplicaEnds) == 0:
		p.Fault = platformtest.StreamReplicaEnds
	case a.resumed && random.IntN(2) == 0:
		p.Fault = resumptionFaults[random.IntN(len(resumptionFaults))]
	default:
		p.Fault = anyStreamFaults[random.IntN(len(anyStreamFaults))]
	}
	if p.Fault == platformtest.StreamClosed {
		// Without a length, this close is the end of a shorter stream.
		p.Unframed = false
	}
	return p
}
