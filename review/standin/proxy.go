package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// keepAliveProbe is the time without bytes after which the kernel of a daemon's machine probes a
// connection, with the default of Go's listeners. A machine that was without power meanwhile answers
// with a reset.
const keepAliveProbe = 15 * time.Second

// link is a proxy on the way between the last machine of a fleet and another one. It shows to the
// other one what a loss of power does: its connections end without a sign, and new ones do not work
// while the power is away.
type link struct {
	target string
	// fromLast is set if the last machine connects to the other one, and not the other way round.
	fromLast bool

	mu    sync.Mutex
	dark  bool
	light *sync.Cond
	pairs []*pair
}

// pair is a connection that passes a link.
type pair struct {
	accepted, dialed net.Conn
	dead             bool
}

// newLink opens a proxy from an address to a target.
func newLink(address, target string, fromLast bool) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, fromLast: fromLast}
	l.light = sync.NewCond(&l.mu)
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

// losePower ends what passes. The other machine sees nothing of it until it probes its connections.
func (l *link) losePower() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = true
	for _, p := range l.pairs {
		p.dead = true
		other := p.accepted
		if l.fromLast {
			other = p.dialed
		}
		time.AfterFunc(keepAliveProbe, func() { reset(other) })
	}
	l.pairs = nil
}

// restorePower lets new connections work again.
func (l *link) restorePower() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = false
	l.light.Broadcast()
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0) //nolint:errcheck // the connection ends in either case
	}
	c.Close()
}

func (l *link) serve(c net.Conn) {
	l.mu.Lock()
	for l.dark {
		l.light.Wait()
	}
	l.mu.Unlock()
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		c.Close()
		return
	}
	p := &pair{accepted: c, dialed: out}
	l.mu.Lock()
	l.pairs = append(l.pairs, p)
	l.mu.Unlock()
	go l.copy(p, c, out)
	l.copy(p, out, c)
}

// copy passes bytes on, and the end of the connection, until the power is lost.
func (l *link) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		dead := p.dead
		l.mu.Unlock()
		if dead {
			return
		}
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
