// Package ctl implements the commands of cowslipctl, one file for each command. A command is an
// entry in the list that commands returns: its help texts, and a function that registers its flags
// and returns the function that runs it. Each command and its exit statuses are described in
// docs/cowslipctl.md.
package ctl
