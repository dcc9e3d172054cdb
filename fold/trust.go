package fold

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"slices"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

// TrustStore holds the partners' public keys, from each box's own settings. All
// processes must hold the same ones, or they fold differently.
type TrustStore struct {
	// NoVersionCheck takes the check of versions out, for the test that shows
	// that it is needed.
	NoVersionCheck bool

	keys []trusted
}

type trusted struct {
	partner graniteknot.Partner
	key     ed25519.PublicKey
}

// Add makes a partner's signatures count. The key has ed25519.PublicKeySize
// bytes.
func (t *TrustStore) Add(p graniteknot.Partner, key ed25519.PublicKey) {
	t.keys = append(t.keys, trusted{partner: p, key: key})
}

// Partners returns the partners whose consent a root change needs.
func (t *TrustStore) Partners() []graniteknot.Partner {
	out := make([]graniteknot.Partner, len(t.keys))
	for i, k := range t.keys {
		out[i] = k.partner
	}
	return out
}

// Sign fills in signer and signature.
func Sign(c *wire.Change, signer graniteknot.Partner, key ed25519.PrivateKey) {
	c.Signer = string(signer)
	c.Signature = ed25519.Sign(key, message(c))
}

// message is what a signature covers: every field but the signature, each
// with its length, so that no two changes have the same message.
func message(c *wire.Change) []byte {
	out := []byte("graniteknot settings change 1\x00")
	for _, field := range []string{c.GetId(), c.GetBranch(), c.GetText(), c.GetSigner()} {
		out = binary.AppendUvarint(out, uint64(len(field)))
		out = append(out, field...)
	}
	return binary.AppendVarint(out, c.GetAgainst())
}

// verify proves who published a change and that it is theirs to make.
func (t *TrustStore) verify(c *wire.Change) error {
	i := slices.IndexFunc(t.keys, func(k trusted) bool { return string(k.partner) == c.GetSigner() })
	if i < 0 {
		return errors.New("unknown signer " + c.GetSigner())
	}
	if !ed25519.Verify(t.keys[i].key, message(c), c.GetSignature()) {
		return errors.New("wrong signature of " + c.GetSigner())
	}
	if c.GetBranch() != string(settings.Root) && c.GetBranch() != c.GetSigner() {
		return errors.New(c.GetSigner() + " can't change branch " + c.GetBranch())
	}
	return nil
}
