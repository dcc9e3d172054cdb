package expertmap

import graniteknot "graniteknot.org/go"

// LeadFor returns how many steps ahead to arm, so that the keeper's word is
// there before the armed step: an answer tells a step that is one message old,
// arming takes one message and its answer, and the word one more. Both
// arguments are in the same unit, such as microseconds.
func LeadFor(messageDelay, stepTime int) graniteknot.Step {
	const messages = 4
	return graniteknot.Step(messages*messageDelay/stepTime + 2)
}
