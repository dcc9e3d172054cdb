package relay

import (
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// sameEnd is the time within which what requests tell of a target's end is of the same one.
const sameEnd = 2 * time.Second

// identity is what makes the request the same as another.
func (n *run) identity() quarantine.Key {
	return quarantine.KeyOf(n.request.Path, n.request.Account.Name, n.request.Body)
}

// quarantined tells whether targets ended under the request before. Such a request would
// go from target to target, eight of them a try.
func (n *run) quarantined() bool {
	q := n.relay.Quarantine
	return q != nil && !q.Empty() && q.Quarantined(n.identity())
}

// noteEnd takes in what an attempt's end says of the request.
func (n *run) noteEnd(a graniteknot.Address, e ended) {
	q := n.relay.Quarantine
	if q == nil {
		return
	}
	now := n.relay.now()
	switch {
	case e.end == endWhole:
		q.RecordResponse(n.identity(), now)
	case e.end == endBroken && strings.HasPrefix(e.reason, graniteknot.ReasonTargetEnded):
		// No target tells its start here: its address and when it ended name the life.
		life := catalog.Life{ID: catalog.ReplicaID(a), Born: graniteknot.Born(now.Truncate(sameEnd).UnixMilli())}
		q.RecordCrash(n.identity(), life.Mark(), now)
	}
}
