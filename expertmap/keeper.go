package expertmap

import (
	"errors"
	"math/bits"

	graniteknot "graniteknot.org/go"
)

// Phase is what a keeper is doing.
type Phase uint8

// The phases.
const (
	// PhaseAdopting reads all ranks.
	PhaseAdopting Phase = iota
	// PhaseResetting waits until all ranks are ready to go on.
	PhaseResetting
	// PhaseResuming tells them to.
	PhaseResuming
	// PhaseIdle has nothing to do.
	PhaseIdle
	// PhaseLoading waits for the weights of a map.
	PhaseLoading
	// PhaseArming waits until all ranks are armed.
	PhaseArming
	// PhaseCommitting and PhaseAborting spread the decision.
	PhaseCommitting
	PhaseAborting
)

var phaseWords = [...]string{"adopting", "resetting", "going", "idle", "loading", "arming", "committing", "aborting"}

// String returns the word used in the time line.
func (p Phase) String() string { return phaseWords[p] }

// ErrBusy refuses a switch while another is under way.
var ErrBusy = errors.New("expertmap: another switch is under way")

// MaxRanks bounds the size of a group.
const MaxRanks = 64

// Coordinator decides for one group. Set the exported fields; it starts by reading
// the ranks. It is used by one goroutine, and a copy shares nothing with it.
type Coordinator struct {
	// Incarnation is higher than any former keeper's.
	Incarnation graniteknot.Incarnation
	// Ranks is the size of the group, at most MaxRanks.
	Ranks int
	// InitialVersion is the map of a group that never ran.
	InitialVersion Version
	// Lead is how many steps ahead a map is armed; 1 when zero.
	Lead graniteknot.Step

	phase Phase
	group Epoch
	// current is the map in force, or that will be after the reset.
	current Version
	// switches counts the attempts; attempt, version and at are the present
	// one's, or the reset's.
	switches Attempt
	version  Version
	at       graniteknot.Step
	// next is the highest next step that any rank told.
	next graniteknot.Step
	// born is the latest birth of a rank that does not know this keeper.
	born graniteknot.Incarnation
	// answered is the set of ranks that are done with the present phase, a bit
	// for each.
	answered uint64
	// read sums up what the ranks told when they were adopted.
	read summary
}

// summary is what matters of all ranks' states.
type summary struct {
	// told tells that at least one rank has.
	told bool
	// apart tells that the ranks are not all running in one formation.
	apart bool
	group Epoch
	// newest is the newest map in force at any rank.
	newest Version
	// armed and armedAt are of the latest switch under way, if there is one; committed
	// tells that a rank knows that one to be committed. A former one may still wait for its
	// step at ranks that were read before it: all know it to be committed, or the next
	// would not have begun, and it needs nothing more.
	armed     Version
	armedAt   graniteknot.Step
	committed bool
}

// add takes in one rank's state.
func (s *summary) add(r State) {
	s.apart = s.apart || r.Epoch == 0 || r.Halted || s.told && r.Epoch != s.group
	s.told = true
	s.group = max(s.group, r.Epoch)
	s.newest = max(s.newest, r.Current)
	if r.Armed > s.armed {
		s.armed, s.armedAt, s.committed = r.Armed, r.ArmedAt, false
	}
	if r.Armed != 0 && r.Armed == s.armed {
		s.committed = s.committed || r.Committed
	}
}

// Phase returns what the keeper is doing.
func (k *Coordinator) Phase() Phase { return k.phase }

// Current returns the map in force.
func (k *Coordinator) Current() Version { return k.current }

// Switch begins a switch to a newer map. Its outcome shows in Current once
// the phase is PhaseIdle again.
func (k *Coordinator) Switch(v Version) ([]Message, error) {
	if k.phase != PhaseIdle || v <= k.current {
		return nil, ErrBusy
	}
	k.switches++
	k.version = v
	return k.enter(PhaseLoading), nil
}

// Abort aborts a switch that is not decided yet, when a rank takes too long.
func (k *Coordinator) Abort() []Message {
	if k.phase != PhaseLoading && k.phase != PhaseArming {
		return nil
	}
	return k.enter(PhaseAborting)
}

// ReplacedRank returns the birth that this keeper's incarnation lies before, if
// one of the ranks was replaced; its caller then adopts the ranks under a
// higher one.
func (k *Coordinator) ReplacedRank() (graniteknot.Incarnation, bool) { return k.born, k.born != 0 }

// Restart reads the ranks anew, when one of them was replaced. A decision that
// was made stays in the ranks or is found again there.
func (k *Coordinator) Restart(i graniteknot.Incarnation) []Message {
	*k = Coordinator{Incarnation: i, Ranks: k.Ranks, InitialVersion: k.InitialVersion, Lead: k.Lead}
	return k.Tick()
}

// Tick returns what has to be sent, or sent again, in the present phase. An
// idle keeper asks its ranks whether they still know it: one that was replaced
// knows nobody to ask.
func (k *Coordinator) Tick() []Message {
	var out []Message
	for r := range k.Ranks {
		if k.answered&(1<<r) == 0 {
			out = append(out, k.message(graniteknot.Rank(r)))
		}
	}
	return out
}

var phaseKinds = [...]Kind{
	PhaseAdopting: KindAdopt, PhaseResetting: KindReset, PhaseResuming: KindResume, PhaseIdle: KindAdopt,
	PhaseLoading: KindLoad, PhaseArming: KindArm, PhaseCommitting: KindCommit, PhaseAborting: KindAbort,
}

func (k *Coordinator) message(r graniteknot.Rank) Message {
	m := Message{Kind: phaseKinds[k.phase], Rank: r, Coordinator: k.Incarnation, Epoch: k.group}
	if m.Kind != KindAdopt {
		m.Attempt, m.Version, m.Step = k.switches, k.version, k.at
	}
	if k.phase == PhaseLoading {
		// The step is chosen when the weights are there.
		m.Step = 0
	}
	return m
}

func (k *Coordinator) enter(p Phase) []Message {
	k.phase = p
	k.answered = 0
	if p == PhaseIdle {
		return nil
	}
	return k.Tick()
}

// Handle takes a rank's answer and returns what follows from it.
func (k *Coordinator) Handle(m Message) []Message {
	if m.Coordinator != k.Incarnation {
		return nil
	}
	if m.Kind == KindStaleCoordinator {
		k.born = max(k.born, m.RankIncarnation)
		return nil
	}
	k.next = max(k.next, m.NextStep)
	if !k.expected(m) {
		return nil
	}
	if m.Kind == KindTooLate {
		return k.enter(PhaseAborting)
	}
	bit := uint64(1) << m.Rank
	if m.Kind == KindState && k.answered&bit == 0 {
		k.read.add(m.State)
	}
	k.answered |= bit
	if bits.OnesCount64(k.answered) < k.Ranks {
		return nil
	}
	return k.advance()
}

var phaseAnswers = [...]Kind{
	PhaseAdopting: KindState, PhaseResetting: KindReady, PhaseResuming: KindResumed, PhaseLoading: KindLoaded,
	PhaseArming: KindArmed, PhaseCommitting: KindCommitted, PhaseAborting: KindAborted,
}

// expected tells whether a message answers the present phase.
func (k *Coordinator) expected(m Message) bool {
	if k.phase == PhaseIdle {
		return false
	}
	tooLate := k.phase == PhaseArming && m.Kind == KindTooLate
	if m.Kind != phaseAnswers[k.phase] && !tooLate {
		return false
	}
	if k.phase == PhaseAdopting {
		return true
	}
	return m.Epoch == k.group && m.Attempt == k.switches && m.Version == k.version
}

// advance goes on when all ranks have answered.
func (k *Coordinator) advance() []Message {
	switch k.phase {
	case PhaseAdopting:
		return k.decide()
	case PhaseResetting:
		return k.enter(PhaseResuming)
	case PhaseLoading:
		k.at = k.next + max(k.Lead, 1)
		return k.enter(PhaseArming)
	case PhaseArming:
		return k.enter(PhaseCommitting)
	case PhaseResuming, PhaseCommitting:
		k.current = k.version
		return k.enter(PhaseIdle)
	case PhaseAborting:
		return k.enter(PhaseIdle)
	case PhaseIdle:
	}
	return nil
}

// decide finds out from all ranks' states what a former keeper left.
func (k *Coordinator) decide() []Message {
	read := k.read
	k.group = max(k.group, read.group)
	if read.apart {
		return k.form()
	}
	k.current = read.newest
	if read.armed == 0 {
		return k.enter(PhaseIdle)
	}
	k.version, k.at = read.armed, read.armedAt
	if read.committed || read.newest == read.armed {
		return k.enter(PhaseCommitting)
	}
	return k.enter(PhaseAborting)
}

// form begins the next formation of the group, with the newest map in force.
func (k *Coordinator) form() []Message {
	k.group++
	k.version = max(k.read.newest, k.InitialVersion)
	k.at = max(k.next, 1)
	return k.enter(PhaseResetting)
}
