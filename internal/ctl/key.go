package ctl

import (
	"crypto/sha256"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

var keyCommand = command{
	name:    "key",
	args:    "[FLAGS]",
	summary: "Print the digest of an API key for the field apiKeySHA256 of a contract.",
	details: "The key is read from standard input, so that it stays out of the list of processes and the history of the shell.\n" +
		"One line end after the key is dropped.",
	examples: []string{
		"cowslipctl key < key.txt              # a key in a file",
		"openssl rand -hex 32 | tee key.txt | cowslipctl key  # a new key",
	},
	setup: func(*flaggy.Parser) runFunc { return runKey },
}

// The allowed lengths of an API key in bytes. A shorter key could be found from its digest by brute
// force. A longer one takes up too much of the request header.
const (
	minKeyBytes = 16
	maxKeyBytes = 1024
)

func runKey(out *output, args []string) int {
	if len(args) > 0 {
		return out.failUsage("the key is read from standard input, not from the arguments")
	}
	data, err := io.ReadAll(io.LimitReader(out.In, maxKeyBytes+3))
	if err != nil {
		return out.fail(ExitUsage, "cannot read standard input: %v", err)
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	switch {
	case len(key) < minKeyBytes || len(key) > maxKeyBytes:
		return out.fail(ExitUsage, "an API key must have %d to %d bytes, this one has %d", minKeyBytes, maxKeyBytes, len(key))
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
		return out.fail(ExitUsage, "an API key must be printable ASCII without spaces, since it is sent in a header")
	}
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte(key)))
	out.result(map[string]string{"apiKeySHA256": digest}, func(w io.Writer) { fmt.Fprintln(w, digest) })
	return ExitOK
}
