package expertmap

import graniteknot "graniteknot.org/go"

// Rank is one rank's part. Its zero value, with ID set, knows nothing and
// runs nothing. It is used by one goroutine.
type Rank struct {
	ID graniteknot.Rank
	// Incarnation is this life of the rank: its start time, plus what clocks may
	// differ by. Coordinators that began before know only a former life; what they
	// sent it must not be taken by this one, so only later keepers are followed.
	Incarnation graniteknot.Incarnation

	state State
	// keeper is the highest incarnation adopted.
	keeper graniteknot.Incarnation
	// ended is the highest attempt of that keeper that was aborted; a late
	// KindArm of it arms nothing.
	ended Attempt
	// loaded holds the maps whose weights are here: the current one and at most
	// one more.
	loaded [2]Version
}

// BeginStep starts the next step and returns the map to run it with. It returns
// false while the rank has to hold.
func (r *Rank) BeginStep() (Version, bool) {
	if r.state.Epoch == 0 || r.state.Halted {
		return 0, false
	}
	if r.due() {
		if !r.state.Committed {
			return 0, false
		}
		r.enforce()
	}
	r.state.NextStep++
	return r.state.Current, true
}

// due tells whether the armed step is next.
func (r *Rank) due() bool { return r.state.Armed != 0 && r.state.NextStep >= r.state.ArmedAt }

// enforce brings a committed map into force.
func (r *Rank) enforce() {
	if !r.state.Committed {
		return
	}
	r.state.Current = r.state.Armed
	r.disarm()
}

func (r *Rank) disarm() { r.state.Armed, r.state.ArmedAt, r.state.Committed = 0, 0, false }

// Holding tells whether the rank waits for the keeper's word, so that its
// caller can ask.
func (r *Rank) Holding() bool { return r.due() && !r.state.Committed }

// State returns what the rank knows.
func (r *Rank) State() State { return r.state }

// Coordinator returns the incarnation of the keeper that the rank listens to.
func (r *Rank) Coordinator() graniteknot.Incarnation { return r.keeper }

// MarkLoaded notes that the weights of a map are here.
func (r *Rank) MarkLoaded(v Version) {
	if r.has(v) {
		return
	}
	r.loaded = [2]Version{r.state.Current, v}
}

func (r *Rank) has(v Version) bool { return v != 0 && (r.loaded[0] == v || r.loaded[1] == v) }

// Handle takes a message from a keeper. It returns the answer, if there is one
// now, and the map whose weights have to be loaded first, or 0.
func (r *Rank) Handle(m Message) (answer Message, answered bool, load Version) {
	if m.Coordinator < r.keeper {
		return Message{}, false, 0
	}
	if m.Coordinator <= r.Incarnation {
		return r.stranger(m), true, 0
	}
	if m.Coordinator > r.keeper {
		if m.Kind != KindAdopt {
			// A keeper reads a rank before it tells it anything.
			return Message{}, false, 0
		}
		r.keeper, r.ended = m.Coordinator, 0
	}
	kind, answered, load := r.act(m)
	if !answered {
		return Message{}, false, load
	}
	answer = m
	answer.Kind = kind
	answer.Rank = r.ID
	answer.NextStep = r.state.NextStep
	if kind == KindState {
		answer.State = r.state
	}
	return answer, true, 0
}

// stranger tells a keeper that it knows a former life of the rank.
func (r *Rank) stranger(m Message) Message {
	m.Kind, m.Rank, m.RankIncarnation = KindStaleCoordinator, r.ID, r.Incarnation
	return m
}

func (r *Rank) act(m Message) (kind Kind, answered bool, load Version) {
	if m.Kind == KindAdopt {
		return KindState, true, 0
	}
	if m.Kind == KindReset {
		return r.reset(m)
	}
	if m.Epoch != r.state.Epoch {
		return 0, false, 0
	}
	switch m.Kind {
	case KindResume:
		return r.goOn(m)
	case KindLoad:
		if !r.has(m.Version) {
			return 0, false, m.Version
		}
		return KindLoaded, true, 0
	case KindArm:
		return r.arm(m)
	case KindCommit:
		return r.commit(m)
	case KindAbort:
		return r.abort(m)
	case KindAdopt, KindReset, KindState, KindReady, KindResumed, KindLoaded, KindArmed, KindTooLate, KindCommitted, KindAborted, KindStaleCoordinator:
	}
	return 0, false, 0
}

// reset halts the rank in a new formation of the group.
func (r *Rank) reset(m Message) (Kind, bool, Version) {
	if m.Epoch < r.state.Epoch || m.Epoch == r.state.Epoch && !r.state.Halted {
		return 0, false, 0
	}
	r.disarm()
	r.state.Epoch, r.state.Halted = m.Epoch, true
	if !r.has(m.Version) {
		return 0, false, m.Version
	}
	r.state.Current = m.Version
	return KindReady, true, 0
}

func (r *Rank) goOn(m Message) (Kind, bool, Version) {
	if r.state.Halted && r.state.Current == m.Version {
		r.state.Halted = false
		r.state.NextStep = m.Step
	}
	if r.state.Halted {
		return 0, false, 0
	}
	return KindResumed, true, 0
}

func (r *Rank) arm(m Message) (Kind, bool, Version) {
	if r.state.Halted || m.Attempt <= r.ended || !r.has(m.Version) || r.state.Current == m.Version {
		return 0, false, 0
	}
	if r.state.Armed != 0 {
		same := r.state.Armed == m.Version && r.state.ArmedAt == m.Step
		return KindArmed, same, 0
	}
	if r.state.NextStep > m.Step {
		return KindTooLate, true, 0
	}
	r.state.Armed, r.state.ArmedAt = m.Version, m.Step
	return KindArmed, true, 0
}

func (r *Rank) commit(m Message) (Kind, bool, Version) {
	if r.state.Armed == m.Version && r.state.ArmedAt == m.Step {
		r.state.Committed = true
	}
	done := r.state.Current == m.Version || r.state.Armed == m.Version && r.state.Committed
	return KindCommitted, done, 0
}

func (r *Rank) abort(m Message) (Kind, bool, Version) {
	r.ended = max(r.ended, m.Attempt)
	if r.state.Armed == m.Version && r.state.ArmedAt == m.Step && !r.state.Committed {
		r.disarm()
	}
	return KindAborted, true, 0
}
