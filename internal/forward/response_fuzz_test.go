package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// validHead matches the heads that a response may have, interim responses included. It is written
// apart from the check, as one expression.
var validHead = regexp.MustCompile(`\A(?:HTTP/1\.[0-9] 1(?:0[02-9]|[1-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n(?:[!#$%&'*+\-.^_|~0-9A-Za-z` + "`" + `]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n)*\r?\n)*` +
	`HTTP/1\.[0-9] (?:101|[2-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n(?:[!#$%&'*+\-.^_|~0-9A-Za-z` + "`" + `]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n)*\r?\n`)

// servedConn is one end of a pipe whose other end has the bytes of a response for one request.
func servedConn(response []byte) net.Conn {
	server, client := net.Pipe()
	go func() {
		defer server.Close()
		go io.Copy(io.Discard, server) //nolint:errcheck // the request is of no interest
		server.Write(response)         //nolint:errcheck // the client may have had enough
	}()
	return client
}

// FuzzResponse guards against bytes of a backend server that crash or stop the reader of responses,
// or that are passed on as a response although their head is none.
func FuzzResponse(f *testing.F) {
	for _, texts := range []map[string]string{invalidResponses, oddResponses} {
		for _, text := range texts {
			f.Add([]byte(text))
			f.Add([]byte(strings.Replace(text, "\r\n", "\n", 1)))
			f.Add([]byte(text[:len(text)/2]))
			f.Add([]byte(text + text))
		}
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		transport := NewBackendTransport()
		transport.dial = func(context.Context, string, string) (net.Conn, error) { return servedConn(response), nil }
		defer transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.1:80/", io.NopCloser(strings.NewReader("")))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if ctx.Err() != nil {
			t.Fatal("the response did not end")
		}
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if !validHead.Match(response) {
			t.Fatalf("%q gave status %d and the header %v", response, resp.StatusCode, resp.Header)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return // the home refuses it
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Fatalf("%q gave status %d", response, resp.StatusCode)
		}
		for name := range resp.Header {
			if !isToken(name) {
				t.Fatalf("%q gave the field name %q", response, name)
			}
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		if !bytes.Contains(response, body) && len(resp.TransferEncoding) == 0 {
			t.Fatalf("%q gave the body %q", response, body)
		}
		if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength && resp.StatusCode != http.StatusNotModified {
			t.Fatalf("%q gave %d bytes of %d", response, len(body), resp.ContentLength)
		}
	})
}

// FuzzHeadCheck guards against a check whose result depends on how the bytes of a head arrive, or
// that passes one that is not valid.
func FuzzHeadCheck(f *testing.F) {
	for _, texts := range []map[string]string{invalidResponses, oddResponses} {
		for _, text := range texts {
			f.Add([]byte(text), uint16(3))
		}
	}
	f.Fuzz(func(t *testing.T, response []byte, split uint16) {
		var whole, parts headCheck
		wholeErr := whole.check(response)
		var partsErr error
		for rest := response; len(rest) > 0 && partsErr == nil; {
			n := min(len(rest), 1+int(split%64))
			partsErr = parts.check(rest[:n])
			rest = rest[n:]
		}
		if wholeErr != partsErr || wholeErr == nil && whole.done != parts.done {
			t.Fatalf("%q: %v and done %v as a whole, %v and done %v in parts", response, wholeErr, whole.done, partsErr, parts.done)
		}
		if len(whole.partial) > maxResponseHeadBytes {
			t.Fatalf("%d bytes are kept", len(whole.partial))
		}
	})
}
