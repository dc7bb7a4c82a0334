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

// transfer is a large upload or download that stops half-way until the scenario lets it go on.
type transfer struct {
	parked  atomic.Bool
	release chan struct{}
	result  chan error
	ctx     context.Context
	abandon context.CancelFunc
}

var errLimited = errors.New("refused by a limit")

// cmdTransfer starts a transfer, which parks half-way, or lets it end and checks it:
// transfer upload|download NAME VM BYTES, transfer finish NAME. transfer abandon NAME breaks it off, as its caller would.
func cmdTransfer(ts *testscript.TestScript, w *world, args []string) {
	if len(args) == 2 && args[0] == "finish" && w.transfers[args[1]] != nil {
		t := w.transfers[args[1]]
		defer t.abandon()
		close(t.release)
		ts.Check(<-t.result)
		return
	}
	if len(args) == 2 && args[0] == "abandon" && w.transfers[args[1]] != nil {
		t := w.transfers[args[1]]
		t.abandon()
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
	t.ctx, t.abandon = context.WithTimeout(context.Background(), hangLimit)
	run := map[string]func(string, int64) error{"upload": t.upload, "download": t.download}[args[0]]
	if run == nil {
		ts.Fatalf("unknown transfer %q", args[0])
	}
	w.transfers[args[1]] = t
	go func() {
		err := run("http://"+w.callers[args[2]], size)
		// An entry that waits for its share of a limit refuses a second request in flight; callers send again, as the loads do.
		for errors.Is(err, errLimited) {
			pause.For(t.ctx, repeatPause)
			t.parked.Store(false)
			err = run("http://"+w.callers[args[2]], size)
		}
		t.result <- err
	}()
}

// isParked: parked NAME, the transfer has moved half of its bytes.
func isParked(_ *testscript.TestScript, w *world, args []string) condition {
	return func() (bool, string) {
		t := w.transfers[args[0]]
		if t == nil {
			return false, "no such transfer"
		}
		select {
		case err := <-t.result:
			t.result <- err
			return false, fmt.Sprintf("ended early: %v", err)
		default:
			return t.parked.Load(), "not yet half-way"
		}
	}
}

// gate passes bytes on and waits for the release at half of them.
type gate struct {
	io.Reader
	t    *transfer
	left int64
}

func (g *gate) Read(p []byte) (int, error) {
	if g.left == 0 && !g.t.parked.Swap(true) {
		<-g.t.release
	}
	if g.left > 0 && int64(len(p)) > g.left {
		p = p[:g.left]
	}
	n, err := g.Reader.Read(p)
	if g.left > 0 {
		g.left -= int64(n)
	}
	return n, err
}

// pattern is the content of transfers: byte i has the value i modulo 256, as the stand-in of a backend server sends it.
type pattern struct{ at int64 }

func (r *pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.at + int64(i))
	}
	r.at += int64(len(p))
	return len(p), nil
}

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

func (t *transfer) upload(base string, size int64) error {
	body := &gate{Reader: io.LimitReader(&pattern{}, size), t: t, left: size / 2}
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
	io.Copy(want, io.LimitReader(&pattern{}, size)) //nolint:errcheck // neither side can fail
	if answer.Received != size || answer.SHA256 != hex.EncodeToString(want.Sum(nil)) {
		return fmt.Errorf("upload: the backend server received %d bytes with digest %s, sent were %d", answer.Received, answer.SHA256, size)
	}
	return nil
}

func (t *transfer) download(base string, size int64) error {
	resp, err := t.do(http.NewRequest(http.MethodGet, base+"/size/"+strconv.FormatInt(size, 10), nil))
	if err != nil {
		return fmt.Errorf("download: %w", err)
	}
	defer resp.Body.Close()
	got, want := sha256.New(), sha256.New()
	n, err := io.Copy(got, &gate{Reader: resp.Body, t: t, left: size / 2})
	if err != nil {
		return fmt.Errorf("download: broken after %d of %d bytes: %w", n, size, err)
	}
	io.Copy(want, io.LimitReader(&pattern{}, size)) //nolint:errcheck // neither side can fail
	if n != size || string(got.Sum(nil)) != string(want.Sum(nil)) {
		return fmt.Errorf("download: got %d bytes with the wrong content, want %d", n, size)
	}
	return nil
}
