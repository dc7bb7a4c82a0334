// Package ctl holds the commands of cowslipctl, one file a command. A command is an entry in commands: its texts for help,
// and a function that registers its flags and returns what runs it. docs/cowslipctl.md lists commands and exit statuses.
package ctl
