package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy on the way of one daemon's messages to another one. While it is cut, nothing passes
// in either direction and no connection ends, as on a partitioned network.
type link struct {
	target string

	mu    sync.Mutex
	cut   bool
	pass  *sync.Cond
	conns []net.Conn
}

// newLink opens a proxy from an address to a target.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target}
	l.pass = sync.NewCond(&l.mu)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// setCut cuts or mends the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.pass.Broadcast()
}

// await returns once the link is not cut.
func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.pass.Wait()
	}
}

func (l *link) serve(c net.Conn) {
	l.await()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, c, out)
	l.mu.Unlock()
	go l.copy(c, out)
	l.copy(out, c)
}

// copy passes bytes on, and the end of the connection.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				tcp.CloseWrite() //nolint:errcheck // the connection ends in either case
			}
			return
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}
