package main

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt. status is 0 for a connection that ended.
type answer struct {
	attempt   string
	sent      time.Time
	took      time.Duration
	status    int
	signature string
	body      string
	header    http.Header
}

func newAttempt() string {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // it never fails
	return hex.EncodeToString(b[:])
}

// freshClient uses a new connection for each request.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// request sends one request to a daemon and waits for its answer.
func (f *fleet) request(client *http.Client, m *machine, method, target, body string, deadline time.Duration) answer {
	a := answer{attempt: newAttempt(), sent: time.Now()}
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://"+f.callers(m)+target, content)
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", a.attempt)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	f.record.logf("client sends %s %s %s to %s", a.attempt, method, target, m.ip)
	c := *client
	c.Timeout = deadline
	resp, err := c.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.body, a.header = string(data), resp.Header
	}
	a.took = time.Since(a.sent)
	if err != nil {
		f.record.logf("client gets no whole answer to %s: %v", a.attempt, err)
		return a
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	f.record.logf("client gets %d to %s, signature %q, %d bytes", a.status, a.attempt, a.signature, len(a.body))
	return a
}
