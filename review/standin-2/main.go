package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

// cases run with the disruption if trouble is set.
var cases = map[string]func(r *record, trouble bool) (outcome, error){
	"leave":     leave,
	"status503": status503,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitCouldNot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNot)
	}
	defer r.close()
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitCouldNot)
	case result.broken:
		r.logf("BROKEN: %s", result.text)
		fmt.Println("broken:", result.text)
		os.Exit(exitBroken)
	}
	r.logf("held: %s", result.text)
	fmt.Println("held:", result.text)
}
