package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

func trailersOf(body []byte) http.Header {
	s := newSum()
	s.add(body)
	h := http.Header{}
	s.set(h)
	return h
}

// readInSteps reads to io.EOF with reads of one size.
func readInSteps(t *rapid.T, r io.Reader, size int) []byte {
	var got []byte
	buf := make([]byte, size)
	for {
		n, err := r.Read(buf)
		got = append(got, buf[:n]...)
		if err == io.EOF {
			return got
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A body whose trailers match must arrive unchanged, whatever the sizes of the reads.
func TestIncomingPassesWholeBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		size := rapid.IntRange(1, 40).Draw(t, "read size")
		src := io.NopCloser(iotest.OneByteReader(bytes.NewReader(body)))
		if rapid.Bool().Draw(t, "large reads") {
			src = io.NopCloser(bytes.NewReader(body))
		}
		in := NewIncoming(src, func() http.Header { return trailersOf(body) })
		got := readInSteps(t, in, size)
		if !bytes.Equal(got, body) {
			t.Fatalf("got %q, want %q", got, body)
		}
	})
}

// A cut or changed body must end in ErrBroken, and its last byte must not pass: a receiver that counts bytes would else
// take it for a whole body.
func TestIncomingWithholdsEndOfBrokenBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body")
		received := bytes.Clone(body)
		if rapid.Bool().Draw(t, "cut") {
			received = received[:rapid.IntRange(0, len(body)-1).Draw(t, "length")]
		} else {
			received[rapid.IntRange(0, len(body)-1).Draw(t, "changed")] ^= 0x40
		}
		trailer := trailersOf(body)
		if rapid.Bool().Draw(t, "no trailer") {
			trailer = nil
		}
		in := NewIncoming(io.NopCloser(bytes.NewReader(received)), func() http.Header { return trailer })
		got, err := io.ReadAll(in)
		if !errors.Is(err, ErrBroken) {
			t.Fatalf("error %v, want ErrBroken", err)
		}
		if len(received) > 0 && len(got) >= len(received) {
			t.Fatalf("all %d bytes of a broken body passed", len(got))
		}
	})
}

// sentBytes returns the bytes that a request with this body sends.
func sentBytes(body []byte) []byte {
	req, _ := http.NewRequest(http.MethodPost, "http://127.0.0.1/", nil)
	AttachOutgoing(req, io.NopCloser(bytes.NewReader(body)))
	sent, _ := io.ReadAll(iotest.OneByteReader(req.Body))
	return sent
}

// received returns a request as the other daemon gets it.
func received(sent []byte, length int64, oneByte bool) *http.Request {
	var src io.Reader = bytes.NewReader(sent)
	if oneByte {
		src = iotest.OneByteReader(src)
	}
	r := &http.Request{ContentLength: length, Body: io.NopCloser(src)}
	ReceiveRequest(r)
	return r
}

// A request body must arrive unchanged and with its own length, whatever the sizes of the reads.
func TestReceiveRequestPassesWholeBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body")
		sent := sentBytes(body)
		length := int64(len(sent))
		known := rapid.Bool().Draw(t, "known length")
		if !known {
			length = -1
		}
		r := received(sent, length, rapid.Bool().Draw(t, "small reads of the source"))
		if known && r.ContentLength != int64(len(body)) || !known && r.ContentLength != -1 {
			t.Fatalf("length %d, want %d", r.ContentLength, len(body))
		}
		got := readInSteps(t, r.Body, rapid.IntRange(1, 40).Draw(t, "read size"))
		if !bytes.Equal(got, body) {
			t.Fatalf("got %q, want %q", got, body)
		}
	})
}

// A cut or changed request body must end in ErrBroken before its last byte has passed, or a backend server that counts bytes
// would run the request.
func TestReceiveRequestWithholdsEndOfBrokenBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body")
		sent := sentBytes(body)
		if rapid.Bool().Draw(t, "cut") {
			sent = sent[:rapid.IntRange(1, len(sent)-1).Draw(t, "length")]
		} else {
			sent[rapid.IntRange(0, len(sent)-1).Draw(t, "changed")] ^= 0x40
		}
		r := received(sent, int64(len(sent)), rapid.Bool().Draw(t, "small reads of the source"))
		got, err := io.ReadAll(r.Body)
		if !errors.Is(err, ErrBroken) {
			t.Fatalf("error %v, want ErrBroken", err)
		}
		if len(got) >= len(body) {
			t.Fatalf("all %d bytes of a broken body passed", len(got))
		}
	})
}

// The digest must not be sent when the source fails, so that the receiver sees a broken body.
func TestOutgoingSendsNoDigestOnError(t *testing.T) {
	req, _ := http.NewRequest("POST", "http://127.0.0.1/", nil)
	AttachOutgoing(req, io.NopCloser(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF))))
	got, err := io.ReadAll(req.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != "abc" {
		t.Fatalf("got %q and error %v", got, err)
	}
}

// A caller must not be able to set headers of the system, and connection options must not pass a hop.
func TestCopyHeadersDropsInternalAndHopByHop(t *testing.T) {
	dst := http.Header{}
	CopyHeaders(dst, http.Header{
		"Cowslip-Customer":  {"other"},
		"Cowslip_customer":  {"other"},
		"Connection":        {"close, X-Local"},
		"X-Local":           {"1"},
		"Transfer-Encoding": {"chunked"},
		"X-Kept":            {"1"},
	})
	if len(dst) != 1 || dst.Get("X-Kept") != "1" {
		t.Errorf("copied %v", dst)
	}
}
