package fold

import graniteknot "graniteknot.org/go"

// Status is what became of a change.
type Status uint8

// The fates of a change.
const (
	// StatusNone is for records that are no change.
	StatusNone Status = iota
	// StatusAccepted changes are in the tree.
	StatusAccepted
	// StatusRefused changes never will be.
	StatusRefused
	// StatusPending root changes wait for the other partner.
	StatusPending
)

var fateWords = [...]string{"none", "accepted", "refused", "pending"}

// String returns the word used in answers to operators.
func (f Status) String() string { return fateWords[f] }

// Verdict is what the fold decided on one record.
type Verdict struct {
	Offset graniteknot.Offset
	// ID, Branch and Signer are empty when the record could not be read.
	ID     string
	Branch string
	Signer string
	Status Status
	// Err tells why a change was refused.
	Err *Error
}
