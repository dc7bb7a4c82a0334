package platform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/platform"
)

// startOddPlatform starts a server that answers each request with the text and then closes the
// connection.
func startOddPlatform(t *testing.T, text string) (base string) {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, text) //nolint:errcheck // the client may have had enough
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against bytes that are no response of the platform, or part of one, and are taken for a
// value, a list of changes or of VMs.
func TestOddResponsesOfThePlatformAreErrors(t *testing.T) {
	const value = `{"revision":7,"changed":[],"vms":[]}`
	const head = "HTTP/1.1 200 OK\r\nRevision: 7\r\n"
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(value), value)
	call := func(base string) map[string]error {
		client := platform.New(platform.Options{BaseURL: base})
		defer client.Close()
		_, valueErr := client.Value(t.Context(), "index")
		_, changesErr := client.Changes(t.Context(), 1, time.Millisecond)
		_, vmsErr := client.VMs(t.Context())
		return map[string]error{"value": valueErr, "changes": changesErr, "vms": vmsErr}
	}
	for name, text := range map[string]string{
		"until the end":    head + "\r\n" + value,
		"cut":              head + "\r\n" + value[:20],
		"cut length":       head + "Content-Length: 100\r\n\r\n" + value,
		"cut chunk":        head + "Transfer-Encoding: chunked\r\n\r\nff\r\n" + value,
		"redirect":         "HTTP/1.1 302 Found\r\nLocation: " + startOddPlatform(t, whole) + "/\r\nContent-Length: 0\r\n\r\n",
		"status 000":       strings.Replace(whole, "200", "000", 1),
		"status 206":       strings.Replace(whole, "200", "206", 1),
		"head without end": head + "X-A: " + strings.Repeat("x", 1<<20) + "\r\n\r\n" + value,
	} {
		for kind, err := range call(startOddPlatform(t, text)) {
			if err == nil {
				t.Errorf("%s: %s has no error", name, kind)
			}
		}
	}
	for kind, err := range call(startOddPlatform(t, whole)) {
		if err != nil {
			t.Errorf("%s of a whole response: %v", kind, err)
		}
	}
	for name, text := range map[string]string{"null": "null", "value without contents": "{}", "trailing bytes": value + "{"} {
		odd := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		for kind, err := range call(startOddPlatform(t, odd)) {
			if err == nil && kind != "value" { // a value is not looked into
				t.Errorf("%s: %s has no error", name, kind)
			}
		}
	}
}
