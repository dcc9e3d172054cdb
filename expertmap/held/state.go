package held

import graniteknot "graniteknot.org/go"

// Version numbers the maps of a group; each is used for one map only, and a
// newer map has a larger one. 0 is the map that a group opens with.
type Version int64

// Epoch numbers the formations of a group; each forgets all maps.
type Epoch int64

// NoStep is the step that no rank holds.
const NoStep graniteknot.Step = 0

// State is what a rank shows.
type State struct {
	Epoch Epoch
	// GroupRunning tells that the group runs.
	GroupRunning bool
	// Step is the last pass that was begun.
	Step graniteknot.Step
	// Current is the map in force, Prepared the one that is loaded beside it; 0
	// for none.
	Current, Prepared Version
	// Armed, if not 0, takes force as ArmedAt begins.
	Armed   Version
	ArmedAt graniteknot.Step
	// Held is the step that the rank does not begin; NoStep for none.
	Held graniteknot.Step
	// HasRequests tells that the rank has requests, so that its group begins passes.
	HasRequests bool
}

// Kind says what an order does.
type Kind uint8

// The kinds of orders.
const (
	// KindPrepare loads a map beside the one in force.
	KindPrepare Kind = iota
	// KindHold keeps the group from beginning a step.
	KindHold
	// KindArm brings a prepared map into force as a step begins.
	KindArm
	// KindRelease lets a held step begin. For step NoStep it does nothing but make the
	// rank know the keeper's fence.
	KindRelease
)

var kindWords = [...]string{"prepare", "hold", "arm", "go"}

// String returns the word used in logs.
func (k Kind) String() string { return kindWords[k] }

// Order is one order to one rank.
type Order struct {
	Kind    Kind
	Rank    graniteknot.Rank
	Version Version
	Step    graniteknot.Step
	Epoch   Epoch
}
