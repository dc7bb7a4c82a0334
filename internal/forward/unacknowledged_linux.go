package forward

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged makes the kernel close the connection once sent data has been unacknowledged
// for unacknowledgedTimeout. It can serve as net.Dialer.Control.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
