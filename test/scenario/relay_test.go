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

// sourceTries bounds the reads of the system's table for one connection.
const sourceTries = 40

// path is one direction between two daemons, or between a daemon and the platform.
type path struct{ from, to string }

// paths holds the directions that are cut.
type paths struct {
	mu      sync.Mutex
	cut     map[path]bool
	changed *sync.Cond
	closed  bool
}

func newPaths() *paths {
	p := &paths{cut: map[path]bool{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *paths) set(at path, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[at] = cut
	p.changed.Broadcast()
}

// wait returns once the direction is open. Bytes are held back, not lost: TCP sends them again until the path heals, so they
// arrive late.
func (p *paths) wait(at path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut[at] && !p.closed {
		p.changed.Wait()
	}
}

func (p *paths) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
}

// relay stands at the peer address of a VM's document and passes connections of other daemons on to the VM's daemon.
type relay struct {
	vm, target string
	paths      *paths
	// daemonOf returns the VM whose daemon opened an accepted connection.
	daemonOf func(net.Conn) (string, error)
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newRelay(vm, listen, target string, p *paths, daemonOf func(net.Conn) (string, error)) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{vm: vm, target: target, paths: p, daemonOf: daemonOf, listener: listener, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.handle(conn)
	}
}

func (r *relay) handle(conn net.Conn) {
	defer r.drop(conn)
	r.keep(conn)
	from, err := r.source(conn)
	if err != nil {
		return // the daemon that connected has ended
	}
	r.paths.wait(path{from, r.vm})
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.drop(target)
	r.keep(target)
	var both sync.WaitGroup
	both.Go(func() { r.pass(target, conn, path{from, r.vm}) })
	both.Go(func() { r.pass(conn, target, path{r.vm, from}) })
	both.Wait()
}

// source returns the VM whose daemon opened the connection. The system's table is no snapshot: while other connections come and go, a
// reader can miss a line, so it is read again.
func (r *relay) source(conn net.Conn) (from string, err error) {
	for range sourceTries {
		if from, err = r.daemonOf(conn); err == nil {
			return from, nil
		}
		time.Sleep(pollInterval)
	}
	return "", err
}

// pass copies one direction. Its end, too, arrives only over an open path.
func (r *relay) pass(to, from net.Conn, at path) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.paths.wait(at)
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

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *relay) close() {
	r.listener.Close()
	r.paths.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// daemonOf finds which daemon of the fleet owns the other end of a connection: by the socket's inode in the system's table
// and the open files of the daemons. All daemons share one loopback address, so the address alone tells nothing.
func (w *world) daemonOf(conn net.Conn) (string, error) {
	inode, err := inodeOf(conn)
	if err != nil {
		return "", err
	}
	for vm, pid := range w.processIDs() {
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
	return "", fmt.Errorf("no daemon has the connection from %s", conn.RemoteAddr())
}

// inodeOf returns the inode of the socket at the other end. Both addresses are compared, because several connections to
// different addresses can have the same local port.
func inodeOf(conn net.Conn) (string, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	inTable := func(a net.Addr) string {
		return fmt.Sprintf("0100007F:%04X", a.(*net.TCPAddr).Port) // 127.0.0.1 in the byte order of the table
	}
	local, remote := inTable(conn.RemoteAddr()), inTable(conn.LocalAddr())
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local && fields[2] == remote && fields[9] != "0" {
			return fields[9], nil
		}
	}
	return "", fmt.Errorf("no connection from %s", conn.RemoteAddr())
}

// cmdCut holds back all bytes from some daemons to others, also on connections that the others opened: cut FROM[,FROM] TO[,TO]. One
// end may be the platform.
func cmdCut(ts *testscript.TestScript, w *world, args []string) { w.setCut(ts, args, true) }

// cmdHeal opens the directions again: heal FROM[,FROM] TO[,TO].
func cmdHeal(ts *testscript.TestScript, w *world, args []string) { w.setCut(ts, args, false) }

func (w *world) setCut(ts *testscript.TestScript, args []string, cut bool) {
	if len(args) != 2 {
		ts.Fatalf("usage: cut|heal FROM[,FROM] TO[,TO]")
	}
	for from := range strings.SplitSeq(args[0], ",") {
		for to := range strings.SplitSeq(args[1], ",") {
			if w.relays[from] == nil || w.relays[to] == nil {
				ts.Fatalf("no path from %s to %s", from, to)
			}
			w.paths.set(path{from, to}, cut)
		}
	}
}
