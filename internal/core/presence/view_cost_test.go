package presence_test

import (
	"fmt"
	"testing"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/core/presence"
)

// TestMessagesCostTheSameAtAnySize counts the allocations of what a gateway does for each bundle
// and each query, with few members and with twice as many as a thousand.
func TestMessagesCostTheSameAtAnySize(t *testing.T) {
	cost := func(members int) map[string]float64 {
		now, view := time.Now(), &presence.View{}
		for i := range members {
			role := presence.RoleGateway
			if i%2 == 1 {
				role = presence.RoleSidecar
			}
			view.Put(presence.Member{Box: graniteknot.BoxName(fmt.Sprint("box-", i)), Role: role, Incarnation: 1}, now)
		}
		self := presence.Member{Box: "self", Role: presence.RoleGateway}
		message := &presence.Message{Box: "box-0", Relay: true, Ready: true, Bundle: &presence.Bundle{Ready: []uint32{1, 2, 3}}}
		return map[string]float64{
			"bundle":     testing.AllocsPerRun(20, func() { view.ApplyBundle(message, now) }),
			"digest":     testing.AllocsPerRun(20, func() { view.Digest(self) }),
			"count":      testing.AllocsPerRun(20, func() { view.CountReady(presence.RoleGateway, "self", now) }),
			"each alive": testing.AllocsPerRun(20, func() { view.EachAlive(presence.RoleGateway, "self", now, func(*presence.Member, bool) {}) }),
		}
	}
	few, many := cost(20), cost(2100)
	for what, n := range many {
		if n > few[what] {
			t.Errorf("%s: %v allocations with 2,100 members, %v with 20", what, n, few[what])
		}
	}
}
