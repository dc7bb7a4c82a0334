package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Guards against log lines that contain part of a body, which net/http quotes when it takes the
// bytes for a header. It also guards against log lines without the cause.
func TestCauseOmitsQuotedInput(t *testing.T) {
	const secret = "S3CRET"
	for response, want := range map[string]struct{ ours, netHTTP string }{
		secret + "-of-a-body\r\n\r\n":                                                    {"invalid status line", "malformed HTTP response"},
		"HTTP/1.1 " + secret + " x\r\n\r\n":                                              {"invalid status line", "malformed HTTP status code"},
		"HTTP/1.1 200 OK\r\n" + secret + " without colon\r\n\r\n":                        {"invalid field name", "malformed header"},
		"HTTP/1.1 200 OK\r\n " + secret + ": 1\r\n\r\n":                                  {"line folding", "malformed header"},
		"HTTP/1.1 200 OK\r\nContent-Length: " + secret + "\r\n\r\n":                      {"invalid length", "bad Content-Length"},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + secret + "\r\n\r\n":                   {"unsupported transfer encoding", "unsupported transfer encoding"},
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + secret + "\r\n\r\n": {"invalid length", "Content-Length"},
		"": {"EOF", "EOF"},
	} {
		address := startRawServer(t, func(conn *net.TCPConn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, response) //nolint:errcheck // the test fails without the response
			}
		})
		// Other clients of a daemon use net/http without the check of heads.
		for want, transport := range map[string]http.RoundTripper{want.ours: NewBackendTransport(), want.netHTTP: &http.Transport{}} {
			r, err := http.NewRequest("POST", "http://"+address+"/stock?token="+secret, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(r)
			if err == nil {
				resp.Body.Close()
				t.Fatalf("%q was accepted as a response", response)
			}
			got := Cause(errkind.Wrap(errkind.BackendBroken, err, "for the caller"))
			if strings.Contains(got, secret) || !strings.Contains(got, want) {
				t.Errorf("%q is logged as %q, want %q", response, got, want)
			}
		}
	}
	if got := Cause(errkind.New(errkind.PathBroken, "the response belongs to another request")); got != "the response belongs to another request" {
		t.Errorf("an error without a cause is logged as %q", got)
	}
}
