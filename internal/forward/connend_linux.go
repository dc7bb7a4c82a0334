package forward

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// connEnd tells how the input of a connection ended.
type connEnd int

const (
	// endUnknown: no end is known.
	endUnknown connEnd = iota
	// endFIN: a FIN has arrived, and no reset.
	endFIN
	// endGone: the connection no longer exists, because of a reset or a time-out.
	endGone
)

// States of a connection in TCP_INFO (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// readEnd returns how the input of a connection ended that this side has not closed.
func readEnd(conn syscall.RawConn) (connEnd, error) {
	var info *unix.TCPInfo
	var infoErr error
	if err := conn.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return endUnknown, err
	}
	if infoErr != nil {
		return endUnknown, infoErr
	}
	switch info.State {
	case tcpCloseWait:
		return endFIN, nil
	case tcpClose:
		return endGone, nil
	default:
		return endUnknown, nil
	}
}

// pendingError returns the error that the kernel has not reported yet, or 0.
func pendingError(conn syscall.RawConn) syscall.Errno {
	var pending int
	err := conn.Control(func(fd uintptr) { pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	if err != nil {
		return 0
	}
	return syscall.Errno(pending)
}
