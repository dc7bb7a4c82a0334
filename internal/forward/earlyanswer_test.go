package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against the rest of an upload that a backend server takes for the next request: after an
// early answer that keeps the connection, the home must send the whole body before anything else, or
// close the connection.
func TestUploadEndsBeforeTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		size int64
		// readDelay is how long the server leaves the upload unread after its answer.
		readDelay time.Duration
		status    int
	}{
		{1000, 0, 200}, {1000, 5 * time.Millisecond, 413}, {200 << 10, 5 * time.Millisecond, 401}, {32 << 20, 0, 200}, {32 << 20, 100 * time.Millisecond, 413},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(c.size, " ", c.readDelay, " chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				answer := fmt.Sprintf("HTTP/1.1 %d Early\r\nContent-Length: 5\r\n\r\nearly", c.status)
				address := startRawServer(t, func(conn *net.TCPConn) {
					reader := bufio.NewReader(conn)
					for {
						head, err := reader.Peek(4)
						if err != nil {
							return
						}
						if !bytes.Equal(head, []byte("POST")) && !bytes.Equal(head, []byte("GET ")) {
							t.Errorf("a request begins with %q", head)
							return
						}
						req, err := http.ReadRequest(reader)
						if err != nil {
							t.Errorf("a request cannot be read: %v", err)
							return
						}
						if _, err := io.WriteString(conn, answer); err != nil {
							return
						}
						if req.Method == http.MethodPost {
							time.Sleep(c.readDelay)
						}
						// net/http reads exactly the body, and fails if the connection ends in it.
						if _, err := io.Copy(io.Discard, req.Body); err != nil {
							return
						}
					}
				})
				transport := NewBackendTransport()
				defer transport.CloseIdleConnections()
				for range 5 {
					req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", io.NopCloser(io.LimitReader(zeros{}, c.size)))
					if err != nil {
						t.Fatal(err)
					}
					if !chunked {
						req.ContentLength = c.size
					}
					resp, err := transport.RoundTrip(req)
					if err != nil {
						t.Fatal(err)
					}
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err != nil || resp.StatusCode != c.status || string(body) != "early" {
						t.Fatalf("status %d, body %q and the error %v", resp.StatusCode, body, err)
					}
					if got, err := fetch(transport, address, "/next"); err != nil || got != "early" {
						t.Fatalf("the next request got %q and the error %v", got, err)
					}
				}
			})
		}
	}
}
