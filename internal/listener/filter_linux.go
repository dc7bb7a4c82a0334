package listener

import (
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Positions and flags of a TCP header (RFC 9293, section 3.1).
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
)

// refuseHandshakes makes the kernel drop the first packet of new handshakes. Those that have begun
// can be completed.
func refuseHandshakes(l *net.TCPListener) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpFlagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: 0xffff},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, in := range program {
		filter[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	if err != nil {
		return err
	}
	return attachErr
}
