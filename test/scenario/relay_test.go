package scenario

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxSourceLookups limits how often the kernel's connection table is read for one connection.
const maxSourceLookups = 40

// link is one direction between two daemons, or between a daemon and the platform.
type link struct{ from, to string }

// linkStates holds the links that are cut. It is safe for concurrent use.
type linkStates struct {
	mu      sync.Mutex
	cut     map[link]bool
	changed *sync.Cond
	closed  bool
}

func newLinkStates() *linkStates {
	p := &linkStates{cut: map[link]bool{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// set cuts or heals a link.
func (p *linkStates) set(at link, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[at] = cut
	p.changed.Broadcast()
}

// awaitOpen returns once the link is not cut. As with TCP retransmission, bytes on a cut link are
// not lost: they arrive late, after the link heals.
func (p *linkStates) awaitOpen(at link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut[at] && !p.closed {
		p.changed.Wait()
	}
}

// close releases all waiting relays.
func (p *linkStates) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
}

// relay listens on the peer address of a VM's document, or on the platform's address, and forwards
// connections of daemons to the process behind it. It holds back the bytes on links that are cut.
type relay struct {
	vm, target string
	links      *linkStates
	// vmOfConn returns the VM whose daemon opened an accepted connection.
	vmOfConn func(net.Conn) (string, error)
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newRelay starts a relay from the address listen to the address target of the named VM, or of the
// platform.
func newRelay(vm, listen, target string, p *linkStates, vmOfConn func(net.Conn) (string, error)) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{vm: vm, target: target, links: p, vmOfConn: vmOfConn, listener: listener, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// serve accepts connections until the listener is closed.
func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(conn)
	}
}

// handle forwards one connection until both directions have ended.
func (r *relay) handle(conn net.Conn) {
	defer r.closeConn(conn)
	r.track(conn)
	from, err := r.sourceVM(conn)
	if err != nil {
		return // the daemon that connected has exited
	}
	r.links.awaitOpen(link{from, r.vm})
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.closeConn(target)
	r.track(target)
	var copies sync.WaitGroup
	copies.Go(func() { r.copyBytes(target, conn, link{from, r.vm}) })
	copies.Go(func() { r.copyBytes(conn, target, link{r.vm, from}) })
	copies.Wait()
}

// sourceVM returns the VM whose daemon opened the connection. The kernel's connection table is no
// consistent snapshot: a reader can miss a line while other connections come and go, so it is read
// again.
func (r *relay) sourceVM(conn net.Conn) (from string, err error) {
	for range maxSourceLookups {
		if from, err = r.vmOfConn(conn); err == nil {
			return from, nil
		}
		time.Sleep(pollInterval)
	}
	return "", err
}

// copyBytes copies one direction of a connection. The end of the stream is held back on a cut link
// too.
func (r *relay) copyBytes(to, from net.Conn, at link) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.links.awaitOpen(at)
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func (r *relay) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) close() {
	r.listener.Close()
	r.links.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// vmOfConn returns the VM whose daemon owns the remote end of a connection. It compares the inode
// of the remote socket with the open files of the daemons, because all daemons share one loopback
// address.
func (h *harness) vmOfConn(conn net.Conn) (string, error) {
	inode, err := remoteSocketInode(conn)
	if err != nil {
		return "", err
	}
	for vm, pid := range h.daemonPIDs() {
		dir := fmt.Sprintf("/proc/%d/fd/", pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, file := range files {
			if target, err := os.Readlink(dir + file.Name()); err == nil && target == "socket:["+inode+"]" {
				return vm, nil
			}
		}
	}
	return "", fmt.Errorf("no running daemon owns the connection from %s", conn.RemoteAddr())
}

// remoteSocketInode returns the inode of the socket at the remote end of conn. Both addresses are
// compared, because connections to different addresses can have the same local port.
func remoteSocketInode(conn net.Conn) (string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	inTable := func(a net.Addr) string {
		return fmt.Sprintf("0100007F:%04X", a.(*net.TCPAddr).Port) // 127.0.0.1 as the table writes it
	}
	local, remote := inTable(conn.RemoteAddr()), inTable(conn.LocalAddr())
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local && fields[2] == remote && fields[9] != "0" {
			return fields[9], nil
		}
	}
	return "", fmt.Errorf("no socket for the connection from %s in /proc/net/tcp", conn.RemoteAddr())
}

// cmdCut implements "cut FROM[,FROM] TO[,TO]": it holds back all bytes from some daemons to
// others, also on connections that the others opened. FROM or TO may be the platform.
func cmdCut(ts *testscript.TestScript, h *harness, args []string) { h.setCut(ts, args, true) }

// cmdHeal implements "heal FROM[,FROM] TO[,TO]": it ends the cut of these links.
func cmdHeal(ts *testscript.TestScript, h *harness, args []string) { h.setCut(ts, args, false) }

func (h *harness) setCut(ts *testscript.TestScript, args []string, cut bool) {
	if len(args) != 2 {
		ts.Fatalf("usage: cut|heal FROM[,FROM] TO[,TO]")
	}
	for from := range strings.SplitSeq(args[0], ",") {
		for to := range strings.SplitSeq(args[1], ",") {
			if h.relays[from] == nil || h.relays[to] == nil {
				ts.Fatalf("no relayed link from %s to %s; the layout needs relays", from, to)
			}
			h.links.set(link{from, to}, cut)
		}
	}
}
