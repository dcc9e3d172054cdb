package fleet

import "time"

const (
	// refusedWindow is the averaging window of the rate of refused requests, about as long as a
	// request takes.
	refusedWindow = time.Second
	// growthFactor is how many times the listed requests an account may run without counting as
	// growing. The running ones are estimated from the few requests of one gateway: at 1.25, accounts
	// at their usual load count as growing by chance, and at 2 a burst is noticed too late.
	growthFactor = 1.5
	// growingShare is the part of its share that a growing account may use until the totals show how
	// much it asks for: with all of it, a burst fills the slots before that.
	growingShare = 0.5
)

// accountUse is the requests of an account that run.
type accountUse struct {
	// listed are those over all gateways by the totals; 0 for an account that is not listed.
	listed int
	// own are those of this process.
	own int
	// recent are the own ones when the totals were read the last time but one, and the last
	// time. ownAtTotals are those of about when the totals in use were made: totals are half a
	// heartbeat old on average when they are first read.
	recent      [2]int
	ownAtTotals int
	// refused is the rate of its requests that were refused here.
	refused decayingRate
	// share is the account's share of the slots, growingShare what it may use while it grows.
	share, growingShare float64
}

// growing reports whether the account runs many more requests than the totals list, which then do
// not show yet what the others must leave it.
func (u *accountUse) growing(gateways int) bool {
	return float64(u.running(gateways)) > growthFactor*float64(u.listed)
}

// withinShare reports whether the account runs no more than its share, growing or not.
func (u *accountUse) withinShare(gateways int) bool {
	return float64(u.running(gateways)) <= u.share
}

// running estimates how many requests of the account run at all gateways: those by the totals,
// and what has changed since. The change in this process stands for that at the other gateways
// in proportion to their requests, since a burst comes to all gateways at once and would fill
// the engines before the next totals. Own requests count in any case.
func (u *accountUse) running(gateways int) int {
	change, others := u.own-u.ownAtTotals, 1.0
	if u.listed > 0 {
		others = min(float64(u.listed)/float64(max(1, u.ownAtTotals)), float64(max(1, gateways)))
	}
	return max(u.own, u.listed+int(others*float64(change)))
}

// release counts a request as ended; nothing for one of a service without coordinated admission.
func (u *accountUse) release() {
	if u != nil {
		u.own--
	}
}

// idle reports whether the account has had no requests here of late.
func (u *accountUse) idle(now time.Time) bool {
	return u.own == 0 && u.recent == [2]int{} && u.ownAtTotals == 0 && u.refused.perSecond(now) < minArrivals
}
