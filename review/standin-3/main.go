// Command standin-3 runs the cases of the third review that need a script. It starts daemons with the
// commands of the deploy file and plays the platform's store, the upstreams and the clients itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTotal = 115 * time.Second
)

// A verdict says whether the rule was broken, or why the case could not run.
type verdict struct {
	broken bool
	err    error
}

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(r *record, trouble bool) verdict{
	"restored-key": restoredKey, "unlisted": unlisted, "two-holders": twoHolders, "unused-server": unusedServer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{out: file, begin: time.Now()}
	r.note("case %s, with the disruption: %v", os.Args[1], trouble)
	done := make(chan verdict, 1)
	go func() { done <- cases[os.Args[1]](r, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var v verdict
	select {
	case v = <-done:
	case <-time.After(maxTotal):
		v.err = fmt.Errorf("the case took more than %v", maxTotal)
	case s := <-signals:
		v.err = fmt.Errorf("ended by the signal %v", s)
	}
	// Daemons end with this process if the case could not end them.
	switch {
	case v.err != nil:
		r.note("the case could not run: %v", v.err)
		return notRun
	case v.broken:
		r.note("the rule was broken")
		return broken
	}
	r.note("the rule held")
	return held
}
