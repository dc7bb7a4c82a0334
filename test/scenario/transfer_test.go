package scenario

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/pause"
)

// transfer is a large upload or download that stops after half of its bytes, which is called
// parked, until the scenario finishes or abandons it.
type transfer struct {
	// parked is true once half of the bytes have passed.
	parked  atomic.Bool
	release chan struct{}
	result  chan error
	ctx     context.Context
	cancel  context.CancelFunc
}

// errLimited reports that a limit of the contract refused the transfer.
var errLimited = errors.New("refused by a limit of the contract")

// cmdTransfer implements "transfer upload|download NAME VM BYTES", which starts a transfer that
// parks half-way; "transfer finish NAME", which lets it end and checks its content; and "transfer
// abandon NAME", which cancels it as its caller would.
func cmdTransfer(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) == 2 && args[0] == "finish" && h.transfers[args[1]] != nil {
		t := h.transfers[args[1]]
		defer t.cancel()
		close(t.release)
		ts.Check(<-t.result)
		return
	}
	if len(args) == 2 && args[0] == "abandon" && h.transfers[args[1]] != nil {
		t := h.transfers[args[1]]
		t.cancel()
		close(t.release)
		<-t.result
		return
	}
	if len(args) != 4 {
		ts.Fatalf("usage: transfer upload|download NAME VM BYTES, transfer finish|abandon NAME")
	}
	size, err := strconv.ParseInt(args[3], 10, 64)
	ts.Check(err)
	t := &transfer{release: make(chan struct{}), result: make(chan error, 1)}
	t.ctx, t.cancel = context.WithTimeout(context.Background(), stepTimeout)
	run := map[string]func(string, int64) error{"upload": t.upload, "download": t.download}[args[0]]
	if run == nil {
		ts.Fatalf("unknown transfer %q", args[0])
	}
	h.transfers[args[1]] = t
	go func() {
		err := run("http://"+h.callerAddresses[args[2]], size)
		// While an entry waits for its share of a limit, it refuses a second request in flight.
		// Callers try again, as the loads do.
		for errors.Is(err, errLimited) {
			pause.For(t.ctx, retryInterval)
			t.parked.Store(false)
			err = run("http://"+h.callerAddresses[args[2]], size)
		}
		t.result <- err
	}()
}

// isParked implements the condition "parked NAME": the transfer has moved half of its bytes and
// waits.
func isParked(_ *testscript.TestScript, h *harness, args []string) condition {
	return func() (bool, string) {
		t := h.transfers[args[0]]
		if t == nil {
			return false, "no transfer has this name"
		}
		select {
		case err := <-t.result:
			t.result <- err
			return false, fmt.Sprintf("the transfer ended early: %v", err)
		default:
			return t.parked.Load(), "the transfer is not yet half-way"
		}
	}
}

// halfwayReader reads from Reader and blocks once, after half of the bytes, until the transfer is
// released.
type halfwayReader struct {
	io.Reader
	t         *transfer
	untilHalf int64
}

func (g *halfwayReader) Read(p []byte) (int, error) {
	if g.untilHalf == 0 && !g.t.parked.Swap(true) {
		<-g.t.release
	}
	if g.untilHalf > 0 && int64(len(p)) > g.untilHalf {
		p = p[:g.untilHalf]
	}
	n, err := g.Reader.Read(p)
	if g.untilHalf > 0 {
		g.untilHalf -= int64(n)
	}
	return n, err
}

// patternReader produces the content of transfers without end: byte i has the value i modulo 256,
// as in the responses of the stand-in for a backend server to /size/{bytes}.
type patternReader struct{ at int64 }

func (r *patternReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.at + int64(i))
	}
	r.at += int64(len(p))
	return len(p), nil
}

// do sends the request and returns a response with status 200. Status 429 gives errLimited. A
// non-nil err is returned as it is.
func (t *transfer) do(req *http.Request, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer shop-key")
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(t.ctx))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusTooManyRequests {
			return nil, fmt.Errorf("%w: %s", errLimited, text)
		}
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

// upload sends size bytes and checks the length and digest that the backend server reports.
func (t *transfer) upload(base string, size int64) error {
	body := &halfwayReader{Reader: io.LimitReader(&patternReader{}, size), t: t, untilHalf: size / 2}
	req, err := http.NewRequest(http.MethodPut, base+"/upload/photos", io.NopCloser(body))
	if err == nil {
		req.ContentLength = size
	}
	resp, err := t.do(req, err)
	if err != nil {
		return fmt.Errorf("upload: %w", err)
	}
	defer resp.Body.Close()
	var answer struct {
		Received int64
		SHA256   string
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return fmt.Errorf("upload: %w", err)
	}
	want := sha256.New()
	io.Copy(want, io.LimitReader(&patternReader{}, size)) //nolint:errcheck // neither side can fail
	if answer.Received != size || answer.SHA256 != hex.EncodeToString(want.Sum(nil)) {
		return fmt.Errorf("upload: the backend server received %d bytes with digest %s, want the %d bytes that were sent", answer.Received, answer.SHA256, size)
	}
	return nil
}

// download fetches size bytes and checks their content.
func (t *transfer) download(base string, size int64) error {
	resp, err := t.do(http.NewRequest(http.MethodGet, base+"/size/"+strconv.FormatInt(size, 10), nil))
	if err != nil {
		return fmt.Errorf("download: %w", err)
	}
	defer resp.Body.Close()
	got, want := sha256.New(), sha256.New()
	n, err := io.Copy(got, &halfwayReader{Reader: resp.Body, t: t, untilHalf: size / 2})
	if err != nil {
		return fmt.Errorf("download: broken after %d of %d bytes: %w", n, size, err)
	}
	io.Copy(want, io.LimitReader(&patternReader{}, size)) //nolint:errcheck // neither side can fail
	if n != size || string(got.Sum(nil)) != string(want.Sum(nil)) {
		return fmt.Errorf("download: got %d bytes, or wrong content, want %d bytes", n, size)
	}
	return nil
}
