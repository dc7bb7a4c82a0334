// Package recovery turns a panic into an error, so that one message or one step of periodic work
// that a daemon cannot handle does not end the process, and with it the service of its VM.
package recovery

import (
	"fmt"
	"runtime/debug"
	"strings"
)

// maxStackLines bounds the lines of the stack in an error, enough for the calls nearest to the
// panic.
const maxStackLines = 24

// Call returns the error of f, or an error with the value and the stack if f panics.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic: %v; %s", v, stack())
		}
	}()
	return f()
}

// Do calls f, and report if it panics.
func Do(f func(), report func(error)) {
	err := Call(func() error {
		f()
		return nil
	})
	if err != nil {
		report(err)
	}
}

// stack returns the present stack on one line.
func stack() string {
	lines := strings.Split(string(debug.Stack()), "\n")
	lines = lines[:min(len(lines), maxStackLines)]
	for i := range lines {
		lines[i] = strings.TrimSpace(lines[i])
	}
	return strings.Join(lines, " | ")
}
