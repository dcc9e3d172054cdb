package cmd

import (
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
)

// registerSettings adds the commands that work on the settings tree.
func registerSettings(app *kingpin.Application, commands registry) {
	parent := app.Command("settings", "Check, publish and show the settings tree.")
	registerSettingsCheck(parent, commands)
	registerSettingsKeygen(parent, commands)
	registerSettingsPublish(parent, commands)
	registerSettingsShow(parent, commands)
	registerSettingsHistory(parent, commands)
	registerSettingsSchema(parent, commands)
}

// logFlags are the flags of commands that read the log.
type logFlags struct {
	log   string
	trust map[string]string
}

func addLogFlags(c *kingpin.CmdClause) *logFlags {
	f := &logFlags{trust: map[string]string{}}
	c.Flag("log", "IP:PORT of the platform's log.").Required().StringVar(&f.log)
	c.Flag("trust", "PARTNER=PUBLIC-KEY, for each partner, in hexadecimal.").Required().StringMapVar(&f.trust)
	return f
}

func (f *logFlags) parse() (*fold.TrustStore, error) {
	trust := &fold.TrustStore{}
	for partner, text := range f.trust {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			return nil, &exitError{code: exitUsage, err: fmt.Errorf("--trust %s: expected 64 hexadecimal digits", partner)}
		}
		trust.Add(graniteknot.Partner(partner), key)
	}
	return trust, nil
}

var errBadKey = errors.New("expected a key file as written by settings keygen")

// parsePrivateKey reads the text of a key file.
func parsePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &exitError{code: exitUsage, err: errBadKey}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
