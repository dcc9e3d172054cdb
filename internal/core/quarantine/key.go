package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	graniteknot "graniteknot.org/go"
)

// keySize is the length of a key in bytes: no two requests of a deployment's life have
// the same by chance, and nobody can make one that has another account's.
const keySize = 16

// Key is a digest of what makes two requests the same: path, account and body.
type Key [keySize]byte

// KeyOf returns the key of a request.
func KeyOf(path string, account graniteknot.Account, body []byte) Key {
	var length [binary.MaxVarintLen64]byte
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(path), []byte(account), body} {
		// The length before each part keeps the parts apart. Writes to a hash do not fail.
		_, _ = hash.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))])
		_, _ = hash.Write(part)
	}
	var out Key
	copy(out[:], hash.Sum(nil))
	return out
}

// String returns the key as it stands in logs and records.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
