package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	graniteknot "graniteknot.org/go"
)

// keyBytes is long enough that accidental collisions do not occur over the lifetime of a
// deployment, and that nobody can construct the key of another account's request.
const keyBytes = 16

// Key identifies a request by its content: a digest of path, account and body.
type Key [keyBytes]byte

// KeyOf returns a request's key.
func KeyOf(path string, account graniteknot.Account, body []byte) Key {
	var length [binary.MaxVarintLen64]byte
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(path), []byte(account), body} {
		// The length prefix separates the parts. Writes to a hash do not fail.
		_, _ = hash.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))])
		_, _ = hash.Write(part)
	}
	var out Key
	copy(out[:], hash.Sum(nil))
	return out
}

// String returns the hexadecimal form used in logs and records.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
