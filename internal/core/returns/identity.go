package returns

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/quarantine"
)

// Identity identifies a request by its content, in the same way on each try. It is the first half
// of a quarantine key. An accidental match among the claims of a deployment is unlikely, and
// another request with the identity of an account's request takes 2^64 attempts to find.
type Identity uint64

// IdentityOf returns the identity of a request with a quarantine key.
func IdentityOf(k quarantine.Key) Identity { return Identity(binary.BigEndian.Uint64(k[:])) }

// ServiceHash is a hash of a service's name.
type ServiceHash uint32

// Subject is what a claim is about.
type Subject struct {
	Service ServiceHash
	Urgency catalog.Urgency
}

// SubjectOf returns the subject of claims on a service.
func SubjectOf(s graniteknot.Service, u catalog.Urgency) Subject {
	return Subject{Service: ServiceHash(xxhash.Sum64String(string(s))), Urgency: u}
}
