package expertmap_test

import "testing"

// TestEveryInterleaving visits every state of three ranks, two maps and one
// death. It runs in one goroutine, so the race detector has nothing to find
// and make race leaves it out.
func TestEveryInterleaving(t *testing.T) {
	if testing.Short() {
		t.Skip("run by make test")
	}
	for _, rankDies := range []bool{false, true} {
		e := &explorer{rankDies: rankDies}
		whole := e.explore(3_000_000)
		t.Logf("rank dies %v: %d states, all %v", rankDies, len(e.seen), whole)
		if !whole || e.broken != "" {
			t.Errorf("rank dies %v: all visited %v, %s", rankDies, whole, e.broken)
		}
	}
}

// TestFormerKeepersCommands lets the commands of former keepers arrive as often as any, which
// the search of every interleaving leaves out, as far as its states go: the mutation that has
// ranks obey these is found in 587,000.
func TestFormerKeepersCommands(t *testing.T) {
	if testing.Short() {
		t.Skip("run by make test")
	}
	e := &explorer{all: true}
	e.explore(1_500_000)
	if e.broken != "" {
		t.Errorf("%d states, %s", len(e.seen), e.broken)
	}
}
