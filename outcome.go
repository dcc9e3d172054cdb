package graniteknot

// Outcome is the one word that every request ends in. The zero value is
// OutcomeUnknown, so that a forgotten outcome never promises anything.
type Outcome uint8

const (
	// OutcomeUnknown means that the request might have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the caller was given the whole answer.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
)

// String returns the word used in headers, logs and tables.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "unknown"
}

// ParseOutcome is the inverse of String; any other word is OutcomeUnknown.
func ParseOutcome(s string) Outcome {
	switch s {
	case "answered":
		return OutcomeAnswered
	case "not-run":
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
