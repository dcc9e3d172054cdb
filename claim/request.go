package claim

import (
	"crypto/sha256"
	"time"

	graniteknot "graniteknot.org/go"
)

// ID is the digest of everything that names a request. It is cut from SHA-256,
// so that no account can make its key meet another's.
type ID [16]byte

// NewID returns the id of a key within a partner's account and service.
func NewID(p graniteknot.Partner, a graniteknot.Account, s graniteknot.Service, k graniteknot.Key) ID {
	var buf [256]byte
	text := buf[:0]
	for _, part := range [...]string{string(p), string(a), string(s), string(k)} {
		text = append(text, part...)
		text = append(text, 0)
	}
	sum := sha256.Sum256(text)
	return ID(sum[:len(ID{})])
}

// Request is what an authority is asked about.
type Request struct {
	ID ID
	// Incarnation is the life of the authority that the request was meant
	// for; 0 for any.
	Incarnation graniteknot.Incarnation
	// KeyTime is the time that the key or its ticket carries; zero for none.
	KeyTime time.Time
	// Try is counted by the caller; a tombstone stops tries up to its own.
	Try uint32
	// Repeatable requests may start without the rules of birth and age; to be
	// told that one never ran takes them all the same.
	Repeatable bool
	// BodyDigest is a digest of the body, so that one key can't stand for two
	// requests.
	BodyDigest uint64
	// Deadline is when the request's deadline passes. Copies of the message that
	// come after it are not taken.
	Deadline time.Time
}

// Verdict is an authority's answer.
type Verdict uint8

const (
	// VerdictMaybe means that a former life, or this one, may have run the
	// request; it does not start now. The zero value promises nothing.
	VerdictMaybe Verdict = iota
	// VerdictStart means that the request is the asker's to queue and start.
	VerdictStart
	// VerdictJoin means that it is queued or running already.
	VerdictJoin
	// VerdictAnswered means that it ran to its end.
	VerdictAnswered
	// VerdictNever means that it did not run and never will.
	VerdictNever
	// VerdictMismatch means that the key stands for another body. Nothing is
	// said about the first.
	VerdictMismatch
)

var verdictWords = [...]string{"maybe", "start", "join", "answered", "never", "mismatch"}

// String returns the word used in the time line.
func (v Verdict) String() string { return verdictWords[v] }
