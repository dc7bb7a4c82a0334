package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is more than the socket buffers of both ends hold, so that an upload that is not read
// blocks its sender.
const uploadBytes = 64 << 20

// startRawServer starts a server that calls serve for each connection and then closes it.
func startRawServer(t testing.TB, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// zeros is a body of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// upload sends a long request body, with its length or chunked, and returns the status and the body
// of the response.
func upload(t *BackendTransport, address string, chunked bool, beforeRead func()) (int, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", io.NopCloser(io.LimitReader(zeros{}, uploadBytes)))
	if err != nil {
		return 0, nil, err
	}
	if !chunked {
		req.ContentLength = uploadBytes
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	beforeRead()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Guards against part of an answer that is taken for a whole one: a backend server answers a long
// upload at once without a length, and resets the connection while the upload is being sent. The
// kernel reports a reset only once. If the sender of the upload gets it, the reader of the answer
// sees a plain end.
func TestResetDuringUploadIsNoEndOfTheAnswer(t *testing.T) {
	const attempts = 40
	part := bytes.Repeat([]byte("x"), 2000)
	for _, c := range []struct {
		name string
		// requestBytes is how much of the upload the server reads, pause how long it waits before
		// the reset, and lateReader how long the reader waits for its first read of the body.
		requestBytes      int64
		pause, lateReader time.Duration
		chunked           bool
	}{
		{name: "at once"},
		{name: "window full", pause: 10 * time.Millisecond},
		{name: "window full, chunked", pause: 10 * time.Millisecond, chunked: true},
		{name: "upload flows", requestBytes: 8 << 20},
		{name: "reset before the body is read", lateReader: 10 * time.Millisecond},
		{name: "window full, reset before the body is read", pause: 5 * time.Millisecond, lateReader: 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := startRawServer(t, func(conn *net.TCPConn) {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", part)
				io.CopyN(io.Discard, reader, c.requestBytes) //nolint:errcheck // the reset follows in any case
				time.Sleep(c.pause)
				conn.SetLinger(0) //nolint:errcheck // the test would fail
			})
			complete := 0
			for range attempts {
				if _, _, err := upload(NewBackendTransport(), address, c.chunked, func() { time.Sleep(c.lateReader) }); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d answers that ended with a reset were complete", complete, attempts)
			}
		})
	}
}

// Guards against part of an answer that is taken for a whole one: a backend server closes with
// unread bytes of the upload in its receive buffer, for which its kernel sends a reset, and drops
// what it has not sent of the answer.
func TestCloseWithUnreadUploadCutsTheAnswer(t *testing.T) {
	const size = 8 << 20
	answer := bytes.Repeat([]byte("x"), size)
	for range 20 {
		address := startRawServer(t, func(conn *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n") //nolint:errcheck // the test would fail
			conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
			conn.Write(answer) //nolint:errcheck // it does not fit into the send buffer
		})
		_, body, err := upload(NewBackendTransport(), address, false, func() { time.Sleep(20 * time.Millisecond) })
		if err == nil && len(body) < size {
			t.Fatalf("%d of %d bytes were taken for the whole answer", len(body), size)
		}
	}
}

// Guards against a whole answer that is lost because the upload to which it is an early answer could
// not be sent to its end.
func TestEarlyAnswerIsDelivered(t *testing.T) {
	const attempts = 20
	text := strings.Repeat("x", 3000)
	for name, answer := range map[string]string{
		"until the end": "HTTP/1.1 200 OK\r\n\r\n" + text,
		"length":        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3000\r\n\r\n" + text,
		"chunked":       "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + text + "\r\n0\r\n\r\n",
	} {
		for _, lateReader := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", lateReader), func(t *testing.T) {
				t.Parallel()
				address := startRawServer(t, func(conn *net.TCPConn) {
					// The server closes with an empty receive buffer, so that the end of its answer is a
					// proper one. The upload goes on, and is answered with a reset.
					reader := bufio.NewReader(conn)
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					io.WriteString(conn, answer)                           //nolint:errcheck // the test would fail
					conn.CloseWrite()                                      //nolint:errcheck // as above
					conn.SetReadDeadline(time.Now().Add(time.Millisecond)) //nolint:errcheck // as above
					io.Copy(io.Discard, reader)                            //nolint:errcheck // ends at the deadline
				})
				for range attempts {
					status, body, err := upload(NewBackendTransport(), address, false, func() { time.Sleep(lateReader) })
					if err != nil || string(body) != text {
						t.Fatalf("status %d, %d bytes and the error %v, want the whole answer", status, len(body), err)
					}
				}
			})
		}
	}
}
