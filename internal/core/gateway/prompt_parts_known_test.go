package gateway_test

import (
	"testing"

	"graniteknot.org/go/internal/core/quarantine"
	"graniteknot.org/go/platform/platformtest"
)

// TestQuarantinedPartIsKnownEverywhere guards against a gateway that lets a known part through: one
// that the store does not reach, one that only the store tells, one that starts later, and one that
// starts after all others have ended.
func TestQuarantinedPartIsKnownEverywhere(t *testing.T) {
	const path = "/stream/"
	c := newCrashingReplicas(t, 12, platformtest.Crash, "bad1:300")
	bad := func(b *box) { b.postParts(path, firstPart, "bad1:300", thirdPart) }
	sound := func(b *box) bool { return b.postParts(path, firstPart, "aa:60", thirdPart) }
	knows := func(b *box) func() bool {
		return func() bool { return b.Quarantine.Blocked(quarantine.KeyOfPart("m", "bad1", 300), b.Clock.Now()) }
	}
	cut := &cutStore{KeyedStore: c.store}
	first, away, alone := start(t, c.store, nil), start(t, cut, nil), start(t, isolatedStore{c.store}, nil)
	all := []*box{first, away, alone}
	for _, b := range all {
		eventually(t, "serves", func() bool { return sound(b) })
	}
	eventually(t, "gateways know each other", func() bool { return len(first.listed()) == 2 && len(away.listed()) == 2 })
	cut.cut.Store(true)
	c.armed.Store(true)
	for c.crashCount("bad1:300") < 3 {
		bad(first)
	}
	started := start(t, c.store, nil)
	all = append(all, started)
	for _, b := range all {
		eventually(t, "knows the part", knows(b))
	}
	crashed := c.crashCount("bad1:300")
	for range 3 {
		for _, b := range all {
			bad(b)
		}
	}
	for _, b := range all {
		b.stop()
	}
	last := start(t, c.store, nil)
	defer last.stop()
	eventually(t, "knows the part from the store", knows(last))
	eventually(t, "serves others", func() bool { return sound(last) })
	for range 3 {
		bad(last)
	}
	if n := c.crashCount("bad1:300"); n != crashed {
		t.Errorf("%d replicas crashed after all gateways knew the part", n-crashed)
	}
}
