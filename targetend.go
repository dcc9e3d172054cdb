package graniteknot

import "context"

// EndTeller is a target that can tell whether it has ended. Targets may implement it.
type EndTeller interface {
	// Ended tells whether nobody listens at the target's address any more. Silence is no
	// proof.
	Ended(ctx context.Context) bool
}

// ReasonTargetEnded begins an agent's reason for work that its target ended under.
const ReasonTargetEnded = "target ended"
