package listener

import "golang.org/x/sys/unix"

// queued returns the number of received bytes that are unread, and of sent bytes that the peer has
// not acknowledged.
func (c *conn) queued() (unread, unsent int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0
	}
	// An error leaves 0: the connection has ended.
	raw.Control(func(fd uintptr) { //nolint:errcheck // as above
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return unread, unsent
}
