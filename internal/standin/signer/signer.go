// Package signer stands in for the partners' operators: it signs settings
// changes with keys made from the partners' names, for tests and the dev role.
// Such keys prove nothing anywhere else.
package signer

import (
	"crypto/ed25519"
	"fmt"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/wire"
)

// Key returns a partner's private key.
func Key(p graniteknot.Partner) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, p)
	return ed25519.NewKeyFromSeed(seed)
}

// Trust returns the public keys of partners.
func Trust(partners ...graniteknot.Partner) *fold.TrustStore {
	t := &fold.TrustStore{}
	for _, p := range partners {
		t.Add(p, Public(p))
	}
	return t
}

// Public returns a partner's public key.
func Public(p graniteknot.Partner) ed25519.PublicKey {
	public, _ := Key(p).Public().(ed25519.PublicKey)
	return public
}

// Change returns a signed change as a record's data. Its id is made from its
// content.
func Change(p graniteknot.Partner, branch string, against int64, text string) []byte {
	c := &wire.Change{Id: fmt.Sprint(p, branch, against, text), Branch: branch, Against: against, Text: text}
	fold.Sign(c, p, Key(p))
	data, err := proto.Marshal(&wire.SettingsRecord{Body: &wire.SettingsRecord_Change{Change: c}})
	if err != nil {
		panic(err)
	}
	return data
}
