package expertmap

import graniteknot "graniteknot.org/go"

// Version numbers the maps of a group; a newer map has a larger one.
type Version uint64

// Epoch numbers the formations of a group: each loss of a rank starts another.
type Epoch uint64

// Attempt numbers the attempts of one keeper to switch.
type Attempt uint64

// Kind says what a message is.
type Kind uint8

// The kinds of messages; the first part goes from the keeper to a rank, the
// second back.
const (
	// KindAdopt asks a rank to follow a new keeper and to tell its state.
	KindAdopt Kind = iota
	// KindReset forms the group anew: halt, load the map, be ready.
	KindReset
	// KindResume ends a reset.
	KindResume
	// KindLoad asks for the weights of a map.
	KindLoad
	// KindArm asks to hold at a step unless a word came before.
	KindArm
	// KindCommit says that the map is in force from the armed step on.
	KindCommit
	// KindAbort says that it is not.
	KindAbort

	// KindState answers KindAdopt.
	KindState
	// KindReady answers KindReset once the weights are loaded.
	KindReady
	// KindResumed answers KindResume.
	KindResumed
	// KindLoaded answers KindLoad once the weights are loaded.
	KindLoaded
	// KindArmed answers KindArm.
	KindArmed
	// KindTooLate answers KindArm when the step has begun already.
	KindTooLate
	// KindCommitted and KindAborted answer the keeper's word.
	KindCommitted
	KindAborted
	// KindStaleCoordinator answers a coordinator that began before the rank's present life.
	KindStaleCoordinator
)

var kindWords = [...]string{
	"adopt", "reset", "go", "load", "arm", "commit", "abort",
	"state", "ready", "gone", "loaded", "armed", "too-late", "committed", "aborted", "stranger",
}

// String returns the word used in the time line.
func (k Kind) String() string { return kindWords[k] }

// Message goes between a keeper and one rank.
type Message struct {
	Kind Kind
	// Rank is the rank that it goes to or comes from.
	Rank graniteknot.Rank
	// Coordinator is the keeper's incarnation. A rank ignores all but the highest
	// that it adopted.
	Coordinator graniteknot.Incarnation
	Epoch       Epoch
	// Attempt, Version and At name an attempt to switch. Of a reset, At is the
	// step to go on from.
	Attempt Attempt
	Version Version
	Step    graniteknot.Step
	// State is set in KindState.
	State State
	// NextStep is the rank's next step, in every answer.
	NextStep graniteknot.Step
	// RankIncarnation is set in KindStaleCoordinator.
	RankIncarnation graniteknot.Incarnation
}

// State is what a rank knows.
type State struct {
	// Epoch is 0 for a rank that knows nothing.
	Epoch   Epoch
	Current Version
	// Halted ranks run nothing until KindResume.
	Halted bool
	// Armed, if not 0, is the map that the rank holds for at step ArmedAt.
	Armed     Version
	ArmedAt   graniteknot.Step
	Committed bool
	// NextStep is the step that the rank begins next.
	NextStep graniteknot.Step
}
