//go:build review

// Command rig-2 plays the cases of the second review: it starts gateways with the command of the deploy file before
// stand-ins of the platform's store, of replicas and of clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases are the plays by name; the file of each adds it. Each returns whether the rule was broken; an error means that it
// could not run.
var cases = map[string]func(w *world, trouble bool) (bool, error){}

func main() {
	args := os.Args[1:]
	if len(args) == 4 && args[0] == "replica" {
		n, _ := strconv.Atoi(args[3])
		fmt.Fprintln(os.Stderr, runReplica(args[1], args[2], n))
		os.Exit(exitNoRun)
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(play(args[0], args[1]))
}

// longest is how long a play may take.
const longest = 116 * time.Second

// giveUp ends the play, and all processes, when it takes too long or is told to end.
func giveUp(w *world) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		w.note("told to end")
	case <-time.After(longest):
		w.note("takes too long")
	}
	w.close()
	os.Exit(exitNoRun)
}

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer w.close()
	go giveUp(w)
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", name, trouble)
	broken, err := cases[name](w, trouble)
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNoRun
	}
	if broken {
		w.note("the rule was broken")
		fmt.Println(name + ": the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println(name + ": the rule held")
	return exitHeld
}
