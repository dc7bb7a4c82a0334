package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// lastAttempt numbers the attempts.
var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// connection is a client's kept connection to a daemon.
type connection struct {
	record *record
	net.Conn
	in *bufio.Reader
	// quiet keeps its requests out of the record.
	quiet bool
}

func (c *connection) note(format string, args ...any) {
	if !c.quiet {
		c.record.note(format, args...)
	}
}

func dial(r *record, address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{record: r, Conn: conn, in: bufio.NewReader(conn)}, nil
}

// request is one attempt of a client.
type request struct {
	method, host, path, key, body string
	deadline                      time.Duration
}

// outcome is what a client saw of one attempt.
type outcome struct {
	attempt string
	sent    time.Time
	status  int
	signed  bool
	body    string
	err     error
}

func (q *request) head(attempt string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, attempt, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Key: %s\r\n", q.key)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// do sends a request and waits for its answer.
func (c *connection) do(q request) outcome {
	o := outcome{attempt: newAttempt(), sent: time.Now()}
	if _, err := io.WriteString(c, q.head(o.attempt)+q.body); err != nil {
		o.err = err
		return o
	}
	c.note("client: sent %s %s, attempt %s, key %q", q.method, q.path, o.attempt, q.key)
	c.receive(&o, q)
	return o
}

// receive reads the answer to a request.
func (c *connection) receive(o *outcome, q request) {
	c.SetReadDeadline(time.Now().Add(q.deadline + time.Second)) //nolint:errcheck // the read fails then
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		o.err = err
		c.note("client: attempt %s got no answer after %v: %v", o.attempt, time.Since(o.sent).Round(time.Millisecond), err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	o.status, o.signed, o.body, o.err = resp.StatusCode, resp.Header.Get("Response-Signature") != "", string(body), err
	c.note("client: attempt %s got status %d, signed: %v, %d bytes, after %v, error: %v, %.120q", o.attempt, o.status, o.signed, len(body), time.Since(o.sent).Round(time.Millisecond), err, o.ownText())
	if resp.Close {
		c.Close()
	}
}

// ownText returns the text of an answer that is not an upstream's.
func (o *outcome) ownText() string {
	if o.signed {
		return ""
	}
	return o.body
}
