package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// rawRequest returns the bytes of a request of the fleet's caller.
func rawRequest(method, target, headers, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n%s", method, target, testKey, headers, body)
}

// dialCallers opens a connection of a caller.
func dialCallers(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// Guards against answers in another order than that of the requests that a caller sent ahead on one
// connection. The first one is answered last by its backend server.
func TestAnswersComeInTheOrderOfRequestsSentAhead(t *testing.T) {
	const requests = 8
	fleet := newTestFleetWith(t, 1, fleetOptions{backend: func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stock/0" {
				time.Sleep(30 * time.Millisecond)
			}
			io.WriteString(w, r.URL.Path) //nolint:errcheck // the test fails without it
		})
	}})
	conn := dialCallers(t, callersAddress(t, fleet))
	for i := range requests {
		io.WriteString(conn, rawRequest("GET", fmt.Sprint("/stock/", i), "", "")) //nolint:errcheck // the test fails
	}
	reader := bufio.NewReader(conn)
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != fmt.Sprint("/stock/", i) {
			t.Fatalf("answer %d has the body %q and the error %v", i, body, err)
		}
	}
}

// Guards against a request that runs although it lies behind an answer that closes the connection,
// and against such an answer that the caller loses: with unread bytes in the receive buffer, a close
// sends a reset and drops what has not been sent. The caller has a small buffer, so that much of
// the answer is still to be sent then.
func TestAnswerThatClosesTheConnectionArrives(t *testing.T) {
	const size = 1 << 20
	var seen requestRecorder
	record := seen.wrap(nil)
	fleet := newTestFleetWith(t, 1, fleetOptions{backend: func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			record.ServeHTTP(discardResponse{header: http.Header{}}, r)
			w.Write(bytes.Repeat([]byte("x"), size)) //nolint:errcheck // the test fails without it
		})
	}})
	behind := rawRequest("GET", "/stock/behind", "", "")
	for name, planned := range map[string]bool{"asked for by the caller": false, "planned stop": true} {
		t.Run(name, func(t *testing.T) {
			l, server, leaving := serveCallers(t, fleet)
			conn := dialCallers(t, l.Addr().String())
			conn.SetReadBuffer(32 << 10) //nolint:errcheck // the answer would leave sooner
			header := "Connection: close\r\n"
			if planned {
				header = ""
				leaving.Store(true)
			}
			io.WriteString(conn, rawRequest("GET", "/stock/first", header, "")) //nolint:errcheck // the test fails
			go io.WriteString(conn, strings.Repeat(behind, 5000))               //nolint:errcheck // it may end with the connection
			stopped := make(chan error, 1)
			go func() {
				var err error
				if planned {
					err = stopServing(t.Context(), l, server)
				}
				stopped <- err
			}()
			time.Sleep(100 * time.Millisecond) // the daemon has closed the connection
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if err != nil || n != size {
				t.Errorf("%d of %d bytes of the answer arrived, and then %v", n, size, err)
			}
			conn.Close()
			if err := <-stopped; err != nil {
				t.Errorf("the stop ended with %v", err)
			}
			if got := seen.take(); !slices.Equal(got, []string{"GET /stock/first "}) {
				t.Errorf("the backend server got %d requests, want the first one only", len(got))
			}
		})
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}

// Guards against the rest of an upload that is taken for the next request after an early answer, and
// against an early answer that the caller loses while it keeps sending.
func TestRestOfAnUploadIsNoRequest(t *testing.T) {
	var seen requestRecorder
	record := seen.wrap(nil)
	fleet := newTestFleetWith(t, 1, fleetOptions{maxRequestBytes: 4 << 20, slots: 20, backend: func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/early" {
				io.WriteString(w, "early") //nolint:errcheck // the test fails without it
				return
			}
			record.ServeHTTP(w, r)
		})
	}})
	address := callersAddress(t, fleet)
	smuggled := rawRequest("GET", "/SMUGGLED", "", "")
	for _, c := range []struct {
		name, target, headers string
		size                  int
		want                  int
	}{
		{"early 200", "/early", "", 3 << 20, http.StatusOK},
		{"early 200, short", "/early", "", 100 << 10, http.StatusOK},
		{"too large", "/a", "", 8 << 20, http.StatusRequestEntityTooLarge},
		{"wrong key", "/a", "Authorization: Bearer wrong\r\n", 1 << 20, http.StatusUnauthorized},
		{"wrong key, short", "/a", "Authorization: Bearer wrong\r\n", 50 << 10, http.StatusUnauthorized},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " chunked ", chunked), func(t *testing.T) {
				body := strings.Repeat(smuggled, c.size/len(smuggled)+1)
				framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
				if chunked {
					framing = "Transfer-Encoding: chunked\r\n"
					body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				}
				head := rawRequest("POST", c.target, framing, "")
				if c.headers != "" {
					head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s%s\r\n", c.target, c.headers, framing)
				}
				conn := dialCallers(t, address)
				sent := make(chan error, 1)
				go func() {
					_, err := io.WriteString(conn, head+body+rawRequest("GET", "/next", "Connection: close\r\n", ""))
					sent <- err
				}()
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != c.want {
					t.Errorf("status %d, %q and the error %v, want %d", resp.StatusCode, text, err, c.want)
				}
				<-sent
				if resp.Close {
					return
				}
				// The connection stays in use only if the rest of the body was read as such.
				next, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.ReadAll(next.Body)
				}
				if err == nil && next.StatusCode != http.StatusOK {
					t.Errorf("the next request was answered with status %d", next.StatusCode)
				}
			})
		}
	}
	t.Cleanup(func() {
		for _, request := range seen.take() {
			if !strings.HasPrefix(request, "GET /next ") {
				t.Errorf("the backend server got %.60q", request)
			}
		}
	})
}

// Guards against a request that runs after its caller has given up: its time counted only from when
// net/http read it, behind a slow one on the same connection.
func TestDeadlineCountsFromTheArrival(t *testing.T) {
	var seen requestRecorder
	record := seen.wrap(nil)
	fleet := newTestFleetWith(t, 1, fleetOptions{backend: func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/stock/slow" {
				time.Sleep(300 * time.Millisecond)
			}
			record.ServeHTTP(w, r)
		})
	}})
	conn := dialCallers(t, callersAddress(t, fleet))
	short := "Cowslip-Timeout-Ms: 200\r\n"
	io.WriteString(conn, rawRequest("GET", "/stock/slow", "", "")+rawRequest("GET", "/stock/late", short, "")) //nolint:errcheck // the test fails
	reader := bufio.NewReader(conn)
	for _, want := range []string{"answered", "not-run", "answered"} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body) //nolint:errcheck // the next read fails then
		if got := resp.Header.Get("Cowslip-Outcome"); got != want {
			t.Errorf("status %d, outcome %q, want %q", resp.StatusCode, got, want)
		}
		if want == "not-run" {
			// One that is sent now has its whole time.
			io.WriteString(conn, rawRequest("GET", "/stock/after", "", "")) //nolint:errcheck // the test fails
		}
	}
	if got := seen.take(); !slices.Equal(got, []string{"GET /stock/slow ", "GET /stock/after "}) {
		t.Errorf("the backend server got %q", got)
	}
}
