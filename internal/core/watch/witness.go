package watch

import "time"

// Witness is what one process can say about whether the store was available.
type Witness struct {
	// TroubleAge is how long ago a call was last refused, failed or overdue, other than in an outage
	// that is known to have affected only that process; 0 if never.
	TroubleAge time.Duration
	// ReadAge is how long ago the latest call began that the store has answered, and SteadyFor how
	// long ago the first one of an unbroken series of answered calls up to that one. Zero if none was
	// answered.
	ReadAge, SteadyFor time.Duration
}

// Recent reports whether the process called the store within a duration, and was answered.
func (w *Witness) Recent(within time.Duration) bool { return w.SteadyFor > 0 && w.ReadAge < within }

// Account is the witness of a process that was asked at a time.
type Account struct {
	AskedAt time.Time
	Witness
}

// Verdict is what witnesses show of an outage.
type Verdict int

const (
	// VerdictOpen means that the witnesses do not tell yet.
	VerdictOpen Verdict = iota
	// VerdictLocal means that the store was available to other processes.
	VerdictLocal
	// VerdictContested means that the store was unavailable to other processes as well, though not to
	// all of them.
	VerdictContested
	// VerdictGeneral means that the store was unavailable to all other processes that called it.
	VerdictGeneral
)

// Witness returns what this process can say at a time.
func (h *Health) Witness(now time.Time) Witness {
	h.mu.Lock()
	defer h.mu.Unlock()
	var w Witness
	excused := h.downSince.IsZero() && !h.lastUnanswered.After(h.upSince) && h.localOutage()
	if !excused && !h.lastUnanswered.IsZero() {
		w.TroubleAge = max(1, now.Sub(h.lastUnanswered))
	}
	if !h.lastRead.IsZero() {
		w.ReadAge, w.SteadyFor = now.Sub(h.lastRead), now.Sub(h.steadySince)
	}
	return w
}

// OutageUnexplained reports whether an outage ended within a duration of which it is not known whether
// it affected only this process.
func (h *Health) OutageUnexplained(now time.Time, within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.downSince.IsZero() && !h.upSince.IsZero() && now.Sub(h.upSince) < within && !h.restored && !h.localOutage()
}

// Judge tells from the accounts of other processes whether the last outage affected only this process,
// and records it if so. A process that made no call during a short outage of the store does not know of
// it, so processes with trouble are outvoted only by more without.
//
// Where all go by the reads of one process, the others make no calls and have nothing to say. If none
// that was asked had trouble within settle after the outage was noticed, the outage was local too: by
// then the next process in line has called the store. A settle of 0 leaves that out.
func (h *Health) Judge(accounts []Account, settle time.Duration, now time.Time) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	available, unavailable := countAccounts(accounts, h.lastDownSince, h.noticedAt)
	settled := settle > 0 && len(accounts) > 0 && unavailable == 0 && now.Sub(h.noticedAt) >= settle
	if available > unavailable || settled {
		h.provedLocal = !h.restored
		return VerdictLocal
	}
	switch {
	case unavailable == 0:
		return VerdictOpen
	case unavailable < len(accounts):
		return VerdictContested
	}
	return VerdictGeneral
}

// countAccounts counts the processes to which the store was available during an outage that this one
// noticed, and those to which it was not.
func countAccounts(accounts []Account, since, noticedAt time.Time) (available, unavailable int) {
	for i := range accounts {
		a := &accounts[i]
		switch {
		case a.TroubleAge > 0 && a.AskedAt.Add(-a.TroubleAge).After(since):
			unavailable++
		case a.AskedAt.Add(-a.ReadAge).After(noticedAt) && !a.AskedAt.Add(-a.SteadyFor).After(since):
			available++
		}
	}
	return available, unavailable
}
