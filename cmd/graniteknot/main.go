// Command graniteknot is the load balancer's one binary: the roles entry,
// agent and dev, the operators' commands, and the stand-ins.
package main

import (
	"os"

	"graniteknot.org/go/cmd/graniteknot/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
