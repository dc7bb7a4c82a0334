//go:build !linux

package forward

import "syscall"

// connEnd tells how the input of a connection ended.
type connEnd int

const (
	endUnknown connEnd = iota
	endFIN
	endGone
)

// readEnd returns endUnknown: only Linux tells a FIN from a reset.
func readEnd(syscall.RawConn) (connEnd, error) { return endUnknown, nil }

func pendingError(syscall.RawConn) syscall.Errno { return 0 }
