//go:build !linux

package listener

// queued returns 0: only Linux tells the sizes.
func (c *conn) queued() (unread, unsent int) { return 0, 0 }
