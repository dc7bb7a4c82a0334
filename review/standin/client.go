package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// attempt is one request of a client, on a connection of its own.
type attempt struct {
	id, method, path string
	deadline         time.Duration
	body             []byte
	// bytesPerSecond paces the body, 0 sends it at once.
	bytesPerSecond int
}

// send sends the request to a daemon and returns the status of the answer, 0 for none.
func (a attempt) send(log *record, m *machine) int {
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		log.event("no-conn", a.id, "client", err.Error())
		return 0
	}
	defer c.Close()
	begin := time.Now()
	c.SetDeadline(begin.Add(a.deadline + time.Second)) //nolint:errcheck // a failure shows at the next call
	log.event("sent", a.id, "client", fmt.Sprintf("%s %s, %d bytes, to the daemon of %s", a.method, a.path, len(a.body), m.ip))
	go a.write(c) //nolint:errcheck // the answer, or its absence, shows how it ended
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		log.event("no-answer", a.id, "client", err.Error())
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		log.event("broken", a.id, "client", err.Error())
		return 0
	}
	detail := fmt.Sprintf("status %d, signed=%v, %q", resp.StatusCode, resp.Header.Get("Response-Signature") != "", string(body[:min(len(body), 100)]))
	log.event("answer", a.id, "client", detail)
	return resp.StatusCode
}

func (a attempt) write(c net.Conn) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.path, a.id, a.deadline.Milliseconds())
	if len(a.body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	if a.bytesPerSecond == 0 {
		_, err := c.Write(a.body)
		return err
	}
	const step = 50 * time.Millisecond
	part := a.bytesPerSecond / int(time.Second/step)
	for rest := a.body; len(rest) > 0; {
		n := min(part, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		if len(rest) > 0 {
			time.Sleep(step)
		}
	}
	return nil
}
