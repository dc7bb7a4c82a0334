package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of an application upstream, with the headers of the users' protocol.
type upstream struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	log                        *record

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	born     int64
	busy     int
}

// start opens the upstream's port. It can be called again after crash.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.address, u.listener, u.conns = l.Addr().String(), l, map[net.Conn]bool{}
	go u.accept(l)
	return nil
}

// crash closes the port and all connections.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener.Close()
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) //nolint:errcheck // the connection ends in either case
		}
		c.Close()
	}
	u.conns = map[net.Conn]bool{}
}

// registration returns the entry of the upstream in the store.
func (u *upstream) registration(state string) any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"Address": u.address,
		"Info":    map[string]any{"Service": u.service, "Version": "v1", "Zone": u.zone, "Slots": u.slots},
		"Status":  map[string]any{"State": state, "Sequence": u.sequence, "WarmupLeft": "0ms"},
		"born":    u.born,
	}
}

func (u *upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(c)
	}
}

// serve serves one connection, one request at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.serveOne(c, reader, r) {
			return
		}
	}
}

// serveOne serves one request, and reports whether the connection can be used again.
func (u *upstream) serveOne(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		return err == nil
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the answer shows on the connection
		return u.answer(c, 421, id, "Not-Executed: 1\r\n", "another instance")
	}
	u.log.event("reached", id, u.id, "caller-service="+r.Header.Get("Caller-Service")+" path="+r.URL.Path+" deadline-ms="+r.Header.Get("Deadline-Ms"))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.log.event("truncated", id, u.id, fmt.Sprint(len(body), " bytes of the body arrived"))
		return false
	}
	if !u.takeSlot() {
		u.log.event("rejected", id, u.id, "full")
		return u.answer(c, 503, id, "Not-Executed: 1\r\nRetry-After: 0.2\r\n", "full")
	}
	defer u.freeSlot()
	u.log.event("run", id, u.id, fmt.Sprintf("body=%d crc=%08x", len(body), crc32.ChecksumIEEE(body)))
	// Like most upstreams, this one drops a request whose connection closes.
	if u.closedWithin(c, reader, u.work) {
		u.log.event("dropped", id, u.id, "the connection closed")
		return false
	}
	u.log.event("done", id, u.id, "")
	return u.answer(c, 200, id, "Response-Signature: "+signature(id)+"\r\n", "served by "+u.id)
}

// signature stands for the signature of an upstream.
func signature(id string) string { return fmt.Sprintf("3e1b.%08x", crc32.ChecksumIEEE([]byte(id))) }

func (u *upstream) answer(c net.Conn, status int, id, headers, body string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\nAttempt-Id: "+id+"\r\n"+headers+
		"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

func (u *upstream) takeSlot() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.busy >= u.slots {
		return false
	}
	u.busy++
	return true
}

func (u *upstream) freeSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
}

// closedWithin waits for the time of the work, and reports whether the connection ended meanwhile.
func (u *upstream) closedWithin(c net.Conn, reader *bufio.Reader, work time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(work)) //nolint:errcheck // a failure shows at the next read
	_, err := reader.Peek(1)
	c.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// restarted makes the upstream a new incarnation under the same id.
func (u *upstream) restarted(clock time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.born, u.sequence = clock.UnixMilli(), 0
}
