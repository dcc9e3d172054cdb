package cmd

import (
	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/member"
)

func registerAgent(app *kingpin.Application, commands registry) {
	registerRole(app, commands, member.RoleAgent,
		"Run in the slot of a target box: admit, claim, queue and run work at the one target behind it.")
}
