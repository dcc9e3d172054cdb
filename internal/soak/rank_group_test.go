package soak_test

import (
	"context"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"graniteknot.org/go/internal/soak"
)

// TestRankGroups guards against steps with two maps while sidecars pause, end and start, and ranks carry out
// and answer calls late.
func TestRankGroups(t *testing.T) {
	if testing.Short() {
		t.Skip("the program that it runs is not built with the race detector")
	}
	program := binary(t)
	first, seeds := uint64(1), uint64(1)
	if n, err := strconv.ParseUint(os.Getenv("GRANITEKNOT_SOAK_SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.ParseUint(os.Getenv("GRANITEKNOT_SOAK_GROUP_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	size := 12
	if n, err := strconv.Atoi(os.Getenv("GRANITEKNOT_SOAK_RANKS")); err == nil {
		size = n
	}
	busy := 0
	if n, err := strconv.Atoi(os.Getenv("GRANITEKNOT_SOAK_BUSY")); err == nil {
		busy = n
	}
	passTimes := []time.Duration{8 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}
	for seed := first; seed < first+seeds; seed++ {
		var lines []string
		dir := t.TempDir()
		result, err := soak.RunGroup(context.Background(), soak.GroupOptions{
			Binary: program, Dir: dir, Seed: seed, Ranks: size, PassTime: passTimes[seed%uint64(len(passTimes))], Faults: 6, Span: 20 * time.Second,
			LateShare: 0.1, PauseShare: 0.03, Busy: busy, Say: func(line string) { lines = append(lines, line) },
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d steps, %d maps, kept from a step for %v at most", seed, result.Steps, result.Maps, result.Longest)
		for _, f := range result.Findings {
			t.Errorf("seed %d: %v", seed, f)
		}
		if len(result.Findings) > 0 {
			t.Logf("%s", strings.Join(lines, "\n"))
			keepLogs(t, dir, seed)
		}
	}
}
