package fold_test

import (
	"crypto/ed25519"
	"fmt"

	"google.golang.org/protobuf/proto"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/wire"
)

// A signed change is accepted, and its copy is refused.
func Example() {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	trust := &fold.TrustStore{}
	public, _ := key.Public().(ed25519.PublicKey)
	trust.Add("herbarium", public)
	change := &wire.Change{Id: "1", Branch: "herbarium", Text: "[partner]\ndeadline = 5s\n"}
	fold.Sign(change, "herbarium", key)
	data, err := proto.Marshal(&wire.SettingsRecord{Body: &wire.SettingsRecord_Change{Change: change}})
	if err != nil {
		fmt.Println(err)
		return
	}
	state := fold.NewState(trust)
	for offset := range graniteknot.Offset(2) {
		verdict, err := state.Apply(graniteknot.Record{Offset: offset + 1, Data: data})
		fmt.Println(verdict.Status, err)
	}
	// Output:
	// accepted <nil>
	// refused <nil>
}
