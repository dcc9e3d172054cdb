package demand

import (
	"maps"
	"slices"
	"time"

	graniteknot "graniteknot.org/go"
)

const (
	// maxAge is how old a summary or sum may be to count: three heartbeats and some slack, so that
	// two lost messages in a row change nothing.
	maxAge = 1500 * time.Millisecond
	// forgetAfter is how long a silent gateway's last incarnations are known, so that a late
	// message of an ended process is not taken for one of a new process.
	forgetAfter = 30 * time.Second
	// maxOrigins bounds the gateways known: four times those of the largest deployment.
	maxOrigins = 2048
	// maxEarlier bounds the known earlier incarnations of a gateway.
	maxEarlier = 4
)

// Sender identifies a message.
type Sender struct {
	Box         graniteknot.BoxName
	Incarnation graniteknot.Incarnation
	Sequence    uint64
}

// origins holds the newest message of each gateway.
type origins map[graniteknot.BoxName]*origin

// origin is a gateway's newest message.
type origin struct {
	incarnation graniteknot.Incarnation
	sequence    uint64
	// earlier are the box's last earlier incarnations, the newest last.
	earlier []graniteknot.Incarnation
	heardAt time.Time
	summary summary
	// base is what this gateway had told the others when a relay's sum arrived.
	base summary
}

// accept returns the origin that a message is to be stored in; nil if the message is older than one
// that was received, or of an earlier life of its sender.
func (o origins) accept(from Sender, now time.Time) *origin {
	known := o[from.Box]
	switch {
	case known == nil:
		if len(o) >= maxOrigins {
			o.forgetSilent(now)
		}
		if len(o) >= maxOrigins {
			return nil
		}
		known = &origin{incarnation: from.Incarnation}
		o[from.Box] = known
	case slices.Contains(known.earlier, from.Incarnation):
		return nil
	case known.incarnation != from.Incarnation:
		known.earlier = append(known.earlier, known.incarnation)
		known.earlier = known.earlier[max(0, len(known.earlier)-maxEarlier):]
		known.incarnation = from.Incarnation
	case from.Sequence <= known.sequence:
		return nil
	}
	known.sequence, known.heardAt = from.Sequence, now
	return known
}

// forgetSilent removes the gateways that have been silent for forgetAfter.
func (o origins) forgetSilent(now time.Time) {
	maps.DeleteFunc(o, func(_ graniteknot.BoxName, x *origin) bool { return now.Sub(x.heardAt) > forgetAfter })
}

// fresh reports whether the newest message counts.
func (o *origin) fresh(now time.Time) bool { return now.Sub(o.heardAt) < maxAge }
