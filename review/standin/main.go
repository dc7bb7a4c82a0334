// Command standin plays the cases of a review against the programs of this project: it starts the
// daemons as processes and holds the stand-ins of the store, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases are the cases by name. Each returns whether the rule held, or an error if it could not run.
var cases = map[string]func(log *record, trouble bool) (held bool, err error){
	"clock-step":  clockStep,
	"cut-readers": cutReaders,
	"lost-entry":  lostEntry,
	"slow-upload": slowUpload,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	log, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer log.close()
	go endEarly(log)
	held, err := cases[name](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.say("The case could not run: %v", err)
		return exitNoRun
	case !held:
		log.say("The rule was broken.")
		return exitBroken
	default:
		log.say("The rule held.")
		return exitHeld
	}
}

// timeLimit is the time after which a case ends in any case.
const timeLimit = 115 * time.Second

// endEarly ends the case, with all processes that it has started, on a signal or at timeLimit.
func endEarly(log *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	log.say("The case could not run: it was ended.")
	endProcesses()
	log.close()
	os.Exit(exitNoRun)
}
