package watch

import "time"

// suspicion is an outage that this process has noticed by a single overdue call: its answer may have been
// lost, or the store been unavailable to all until the call was retried.
type suspicion struct {
	// since is the start of the call, noticedAt when it was overdue, and endedAt when the store answered
	// again; zero if there is no suspicion, or not yet an answer.
	since, noticedAt, endedAt time.Time
}

// end records that the store answers.
func (s *suspicion) end(now time.Time) {
	if !s.since.IsZero() && s.endedAt.IsZero() {
		s.endedAt = now
	}
}

// OutageSuspected reports whether other processes are to be asked about an outage that this one may have
// noticed by a single call.
func (h *Health) OutageSuspected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.suspected.endedAt.IsZero()
}

// JudgeSuspicion tells from the accounts of other processes whether there was a suspected outage, and
// records it if so. As long as nobody else had trouble, an answer was lost.
func (h *Health) JudgeSuspicion(accounts []Account) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.suspected
	h.suspected = suspicion{}
	if !h.downSince.IsZero() {
		return true
	}
	available, unavailable := countAccounts(accounts, s.since, s.noticedAt)
	if s.endedAt.IsZero() || unavailable == 0 || available > unavailable {
		return false
	}
	h.lastDownSince, h.noticedAt, h.upSince = s.since, s.noticedAt, s.endedAt
	h.provedLocal, h.restored = false, false
	return true
}
