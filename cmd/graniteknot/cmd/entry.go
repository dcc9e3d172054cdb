package cmd

import (
	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/member"
)

func registerEntry(app *kingpin.Application, commands registry) {
	registerRole(app, commands, member.RoleEntry,
		"Run on an entry box: answer which addresses to use, take callers' requests, route them and stream the answers back.")
}
