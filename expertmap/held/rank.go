package held

import (
	"context"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/planner"
)

// GroupName names a lock-step group.
type GroupName string

// Report is what a rank tells of itself.
type Report struct {
	// StartTime is when the rank's life began; 0 where it does not say.
	StartTime graniteknot.Born
	// Group is empty for replicas that are no ranks.
	Group     GroupName
	Rank      graniteknot.Rank
	GroupSize int
	State     State
	// Running and Waiting count requests, Tokens what their contexts hold.
	Running, Waiting int
	Tokens           graniteknot.Tokens
	// Pace above 1 is a slow rank.
	Pace float64
}

// Command is an order with what carries it.
type Command struct {
	Order
	// Fence is the keeper's.
	Fence graniteknot.Position
	// Placement is set for KindPrepare.
	Placement *planner.Placement
	// Base, if it is set, is a map of version BaseVersion that ranks were told in
	// the same epoch, and that Placement differs little from.
	Base        *planner.Placement
	BaseVersion Version
}

// Result is what became of a command.
type Result int32

// The results.
const (
	// ResultUnknown commands may have been taken, or may be carried out later.
	ResultUnknown Result = iota
	// ResultDone commands are done or have begun.
	ResultDone
	// ResultConflict commands did not fit the rank's state.
	ResultConflict
	// ResultFenced commands came from a former keeper.
	ResultFenced
)

var resultWords = [...]string{"lost", "done", "conflict", "fenced"}

// String returns the word used in logs.
func (r Result) String() string { return resultWords[r] }

// Rank is one rank as its sidecar reaches it.
type Rank interface {
	Report(ctx context.Context) (Report, error)
	// Counts returns how often each expert was chosen since the rank's start, by
	// set and expert.
	Counts(ctx context.Context) ([]uint64, error)
	// Lists returns the experts that the rank holds of the map in force, by set.
	Lists(ctx context.Context) ([][]graniteknot.Expert, error)
	// Order gives an order.
	Order(ctx context.Context, c *Command) (Result, error)
}
