package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	lengthBody = "Content-Length: 5\r\n\r\nhello"
	chunkBody  = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
)

// invalidResponses are bytes that are no response, although each has the parts of one.
var invalidResponses = map[string]string{
	"status 000":                      "HTTP/1.1 000 OK\r\n" + lengthBody,
	"status 099":                      "HTTP/1.1 099 OK\r\n" + lengthBody,
	"status 600":                      "HTTP/1.1 600 OK\r\n" + lengthBody,
	"status 999":                      "HTTP/1.1 999 OK\r\n" + lengthBody,
	"status with a sign":              "HTTP/1.1 +20 OK\r\n" + lengthBody,
	"status of two digits":            "HTTP/1.1 20 OK\r\n" + lengthBody,
	"status of four digits":           "HTTP/1.1 2000 OK\r\n" + lengthBody,
	"status after two blanks":         "HTTP/1.1  200 OK\r\n" + lengthBody,
	"version 2":                       "HTTP/2.0 200 OK\r\n" + lengthBody,
	"control byte in the status line": "HTTP/1.1 200 O\x01K\r\n" + lengthBody,
	"bare CR in the status line":      "HTTP/1.1 200 O\rK\r\n" + lengthBody,
	"blank in a name":                 statusLine + "X A: b\r\n" + lengthBody,
	"blank before the colon":          statusLine + "X-A : b\r\n" + lengthBody,
	"length, blank before the colon":  statusLine + "Content-Length : 5\r\n\r\nhello",
	"tab before the colon":            statusLine + "X-A\t: b\r\n" + lengthBody,
	"control byte in a name":          statusLine + "X\x01A: b\r\n" + lengthBody,
	"NUL in a name":                   statusLine + "X\x00A: b\r\n" + lengthBody,
	"DEL in a name":                   statusLine + "X\x7fA: b\r\n" + lengthBody,
	"name that is no token":           statusLine + "X(A): b\r\n" + lengthBody,
	"name beyond ASCII":               statusLine + "X\xe9A: b\r\n" + lengthBody,
	"no name":                         statusLine + ": b\r\n" + lengthBody,
	"no colon":                        statusLine + "X-A\r\n" + lengthBody,
	"folded line":                     statusLine + "X-A: b\r\n c\r\n" + lengthBody,
	"line folded with a tab":          statusLine + "X-A: b\r\n\tc\r\n" + lengthBody,
	"folded first line":               statusLine + " X-A: b\r\n" + lengthBody,
	"length in a folded line":         statusLine + "X-A: b\r\n Content-Length: 3\r\n" + lengthBody,
	"bare CR in a value":              statusLine + "X-A: b\rc\r\n" + lengthBody,
	"bare CR at the end of a line":    statusLine + "X-A: b\r\r\n" + lengthBody,
	"bare CR in the empty line":       statusLine + "Content-Length: 5\r\n\r\r\nhello",
	"NUL in a value":                  statusLine + "X-A: b\x00c\r\n" + lengthBody,
	"DEL in a value":                  statusLine + "X-A: b\x7fc\r\n" + lengthBody,
	"two lengths":                     statusLine + "Content-Length: 3\r\n" + lengthBody,
	"two lengths in a line":           statusLine + "Content-Length: 5, 3\r\n\r\nhello",
	"length with a sign":              statusLine + "Content-Length: +5\r\n\r\nhello",
	"negative length":                 statusLine + "Content-Length: -5\r\n\r\nhello",
	"length in hex":                   statusLine + "Content-Length: 0x5\r\n\r\nhello",
	"no number as length":             statusLine + "Content-Length: five\r\n\r\nhello",
	"no length in its field":          statusLine + "Content-Length:\r\n\r\nhello",
	"length beyond 64 bits":           statusLine + "Content-Length: 99999999999999999999\r\n\r\nhello",
	"length, then chunked":            statusLine + "Content-Length: 5\r\n" + chunkBody + "\r\n",
	"chunked, then length":            statusLine + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunked in HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + chunkBody + "\r\n",
	"unknown coding":                  statusLine + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunked twice":                   statusLine + "Transfer-Encoding: chunked\r\n" + chunkBody + "\r\n",
	"interim with a blank in a name":  "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + statusLine + lengthBody,
	"interim with a folded line":      "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n c\r\n\r\n" + statusLine + lengthBody,
	"fault after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n" + statusLine + "X A: b\r\n" + lengthBody,
	"blank in the name of a trailer":  statusLine + chunkBody + "X A: b\r\n\r\n",
	"trailer that is no token":        statusLine + chunkBody + "X\x01A: b\r\n\r\n",
	"chunk size with a sign":          statusLine + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
	"chunk longer than its size":      statusLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n",
	"empty line first":                "\r\n" + statusLine + lengthBody,
	"no head":                         "hello\r\n\r\n",
}

// oddResponses are responses with heads that are unusual, but legal. Each has the body "hello".
var oddResponses = map[string]string{
	"no reason":                   "HTTP/1.1 200\r\n" + lengthBody,
	"empty reason":                "HTTP/1.1 200 \r\n" + lengthBody,
	"reason beyond ASCII":         "HTTP/1.1 200 d\xe9j\xe0 vu\r\n" + lengthBody,
	"status without a meaning":    "HTTP/1.1 299 Odd\r\n" + lengthBody,
	"last status":                 "HTTP/1.1 599 Odd\r\n" + lengthBody,
	"HTTP/1.0":                    "HTTP/1.0 200 OK\r\n" + lengthBody,
	"no blank after the colon":    statusLine + "Content-Length:5\r\n\r\nhello",
	"blanks around a value":       statusLine + "Content-Length: \t 5 \t \r\n\r\nhello",
	"empty value":                 statusLine + "X-A:\r\n" + lengthBody,
	"value beyond ASCII":          statusLine + "X-A: d\xe9j\xe0\tvu\r\n" + lengthBody,
	"all bytes of a token":        statusLine + "!#$%&'*+-.^_`|~09azAZ: b\r\n" + lengthBody,
	"lower case":                  statusLine + "content-length: 5\r\n\r\nhello",
	"the same length twice":       statusLine + "Content-Length: 5\r\n" + lengthBody,
	"lines that end with LF only": "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
	"chunked":                     statusLine + chunkBody + "\r\n",
	"chunked in capitals":         statusLine + "Transfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"trailers":                    statusLine + chunkBody + "X-A: b\r\nX-B: c\r\n\r\n",
	"until the end":               statusLine + "\r\nhello",
	"interim responses":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + statusLine + lengthBody,
	"long line":                   statusLine + "X-A: " + strings.Repeat("x", 30_000) + "\r\n" + lengthBody,
}

// serveOnce returns a function that answers one request with the text, in parts of the given size.
func serveOnce(text string, part int) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for len(text) > 0 {
			n := min(part, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return
			}
			text = text[n:]
			if len(text) > 0 && part < 100 {
				time.Sleep(50 * time.Microsecond)
			}
		}
	}
}

// Guards against bytes that are no response and reach a caller as one: a status outside 100 to 599,
// names that are no tokens, folded lines, lengths in doubt, a bare CR, and the like.
func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, text := range invalidResponses {
		for _, part := range []int{1, 1 << 20} {
			t.Run(fmt.Sprint(name, " ", part), func(t *testing.T) {
				t.Parallel()
				transport := NewBackendTransport()
				address := startRawServer(t, serveOnce(text, part))
				if got, err := fetch(transport, address, "/"); err == nil {
					t.Errorf("%q was taken for a response with the body %q", text, got)
				}
				if transport.hasReusable(address) {
					t.Error("the connection is offered for reuse")
				}
			})
		}
	}
}

// Guards against a check that refuses whole answers of backend servers with unusual heads.
func TestOddResponsesAreAnswers(t *testing.T) {
	for name, text := range oddResponses {
		for _, part := range []int{1, 7, 1 << 20} {
			if part == 1 && len(text) > 1000 {
				continue
			}
			t.Run(fmt.Sprint(name, " ", part), func(t *testing.T) {
				t.Parallel()
				address := startRawServer(t, serveOnce(text, part))
				if got, err := fetch(NewBackendTransport(), address, "/"); err != nil || got != "hello" {
					t.Errorf("%q gave the body %q and the error %v", text, got, err)
				}
			})
		}
	}
}

// Guards against a check that sees only the first head on a connection.
func TestHeadsOnAReusedConnectionAreChecked(t *testing.T) {
	for name, text := range map[string]string{"status": invalidResponses["status 600"], "name": invalidResponses["blank in a name"]} {
		t.Run(name, func(t *testing.T) {
			address := startRawServer(t, func(conn *net.TCPConn) {
				reader := bufio.NewReader(conn)
				for _, answer := range []string{statusLine + lengthBody, statusLine + chunkBody + "\r\n", text} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			})
			transport := NewBackendTransport()
			for range 2 {
				if got, err := fetch(transport, address, "/"); err != nil || got != "hello" {
					t.Fatalf("%q, %v", got, err)
				}
				for !transport.hasReusable(address) {
					time.Sleep(100 * time.Microsecond)
				}
			}
			// With a body, as in requests of a home, net/http does not repeat the request by itself.
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", io.NopCloser(strings.NewReader("")))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := transport.RoundTrip(req); !errors.Is(err, ErrInvalidResponse) {
				t.Errorf("the last answer gave the error %v, want %v", err, ErrInvalidResponse)
			}
		})
	}
}

// Guards against the text of a backend server in a log, which may be part of a body.
func TestInvalidResponseIsNotQuoted(t *testing.T) {
	address := startRawServer(t, serveOnce(statusLine+"secret text: b\r\n"+lengthBody, 1<<20))
	_, err := fetch(NewBackendTransport(), address, "/")
	if err == nil || strings.Contains(Cause(err), "secret") {
		t.Errorf("the cause is %v", err)
	}
	if errors.Is(err, io.EOF) {
		t.Errorf("%v looks like an end", err)
	}
}
