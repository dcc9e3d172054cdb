package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	graniteknot "graniteknot.org/go"
)

// keyBytes is long enough that accidental collisions do not occur over the lifetime of a
// deployment, and that nobody can construct the key of another account's request.
const keyBytes = 16

// Key identifies a request by its content, a digest of path, account and body, or a part of
// prompts, see KeyOfPart.
type Key [keyBytes]byte

// KeyOf returns a request's key.
func KeyOf(path string, account graniteknot.Account, body []byte) Key {
	return digest([]byte(path), []byte(account), body)
}

// KeyOfPart returns the key of a part of the prompts of a model's requests: its hash, as the
// client states it, and its number of tokens. Parts are shared by accounts.
func KeyOfPart(model, hash string, tokens uint32) Key {
	return digest([]byte("part"), []byte(model), []byte(hash), binary.BigEndian.AppendUint32(nil, tokens))
}

// digest returns the digest of a list of parts.
func digest(parts ...[]byte) Key {
	var length [binary.MaxVarintLen64]byte
	hash := sha256.New()
	for _, part := range parts {
		// The length prefix separates the parts. Writes to a hash do not fail.
		_, _ = hash.Write(length[:binary.PutUvarint(length[:], uint64(len(part)))])
		_, _ = hash.Write(part)
	}
	var out Key
	copy(out[:], hash.Sum(nil))
	return out
}

// ParseKey reads the form that String returns.
func ParseKey(text string) (Key, error) {
	var out Key
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != keyBytes {
		return out, &Error{Op: "read identity", Kind: KindMalformed, Err: fmt.Errorf("invalid identity %.40q", text)}
	}
	copy(out[:], b)
	return out, nil
}

// String returns the hexadecimal form used in logs and records.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
