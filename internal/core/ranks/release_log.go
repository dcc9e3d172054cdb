package ranks

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"graniteknot.org/go/expertmap/held"
	"graniteknot.org/go/internal/core/eventlog"
)

// source is how the coordinator came to know a rank's state.
type source uint8

const (
	// sourceDirect states were read from another box.
	sourceDirect source = iota
	// sourceSidecar states were read by the rank's sidecar.
	sourceSidecar
	// sourceOrder states include the outcome of an order.
	sourceOrder
)

var sourceWords = [...]string{"direct", "sidecar", "order"}

// knownState is what the coordinator knows of some ranks.
type knownState struct {
	current, prepared, armed  held.Version
	step, armedStep, heldStep uint64
	source                    source
}

// String returns the state as it is logged.
func (k knownState) String() string {
	return fmt.Sprintf("step=%d map=%d prepared=%d armed=%d@%d held=%d by=%s",
		k.step, k.current, k.prepared, k.armed, k.armedStep, k.heldStep, sourceWords[k.source])
}

// logRelease logs on what knowledge of the ranks a held step is released, once for each step.
func (c *Coordinator) logRelease(decision *held.Decision) {
	if decision.Phase != held.PhaseReleasing || len(decision.Orders) == 0 || decision.Orders[0] == c.loggedRelease {
		return
	}
	c.loggedRelease = decision.Orders[0]
	oldest := time.Duration(0)
	var states []knownState
	ranksByState := map[knownState][]string{}
	for r, m := range c.Members {
		last, at := m.lastSnapshot()
		s := last.state
		k := knownState{
			current: s.Current, prepared: s.Prepared, armed: s.Armed, step: uint64(s.Step), armedStep: uint64(s.ArmedAt),
			heldStep: uint64(s.Held), source: last.source,
		}
		if ranksByState[k] == nil {
			states = append(states, k)
		}
		ranksByState[k] = append(ranksByState[k], strconv.Itoa(r))
		oldest = max(oldest, c.Clock.Since(at))
	}
	known := make([]string, len(states))
	for i, k := range states {
		known[i] = "ranks " + strings.Join(ranksByState[k], ",") + ": " + k.String()
	}
	c.Log.Info("release", slog.Uint64("step", uint64(decision.Orders[0].Step)), slog.Int64("map", int64(c.desired.NewVersion)),
		slog.Int64("epoch", int64(c.epoch)), slog.Int64("fence", int64(c.Fence)), slog.Bool("armed", decision.ReleasedStep == held.NoStep),
		eventlog.Milliseconds("oldest", oldest), slog.Any("known", known))
}
