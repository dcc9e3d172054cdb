package held

import (
	"slices"

	graniteknot "graniteknot.org/go"
)

// DecideWithMissingRank decides while one rank can't be reached: that of the former
// keeper, whose box has stopped. All it may do is let a held step begin that no
// rank is armed for, so that the group does not stand until the box is back.
//
// The missing rank is not armed while another one is not: its keeper armed it
// last, once it had seen that all others were, and under the present fence it
// will not see that any more. Where any rank is armed, nobody can tell, and the
// group has to wait. So it has where no rank has requests: then it does not
// matter, and the held step would not begin at once. A keeper that has sent arms
// of its own for a step to come, to any rank, has to wait too.
func DecideWithMissingRank(states []State, missing graniteknot.Rank, w CoordinatorState) Decision {
	others := slices.Delete(slices.Clone(states), int(missing), int(missing)+1)
	g, whole := sum(others)
	if !whole || g.apart || g.contradictory {
		return Decision{}
	}
	if g.armed != 0 || w.ArmStep > g.step {
		return Decision{Phase: PhaseArming}
	}
	working := slices.ContainsFunc(others, func(s State) bool { return s.HasRequests })
	if g.held == NoStep || !working {
		return Decision{Phase: PhaseIdle}
	}
	known := slices.Clone(states)
	known[missing] = State{}
	return Decision{Phase: PhaseReleasing, Orders: g.release(known, g.lastHeld), ReleasedStep: g.lastHeld}
}
