//go:build !linux

package listener

import (
	"errors"
	"net"
)

// refuseHandshakes is not available on this system.
func refuseHandshakes(*net.TCPListener) error { return errors.ErrUnsupported }
