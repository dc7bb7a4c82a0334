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

// trailersOf returns the length and digest trailers of a body.
func trailersOf(body []byte) http.Header {
	s := newBodyDigest()
	s.add(body)
	h := http.Header{}
	s.setTrailers(h)
	return h
}

// readInSteps reads until io.EOF with reads of the given size.
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

// Guards against changing or losing bytes of an intact response body at some size of the reads.
func TestVerifiedBodyPassesIntactBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		size := rapid.IntRange(1, 40).Draw(t, "read size")
		src := io.NopCloser(iotest.OneByteReader(bytes.NewReader(body)))
		if rapid.Bool().Draw(t, "large reads") {
			src = io.NopCloser(bytes.NewReader(body))
		}
		in := NewVerifiedBody(src, func() http.Header { return trailersOf(body) })
		got := readInSteps(t, in, size)
		if !bytes.Equal(got, body) {
			t.Fatalf("got %q, want %q", got, body)
		}
	})
}

// Guards against passing on all bytes of a truncated or changed response body. A receiver that
// counts bytes would take it for complete before it sees ErrBodyCorrupt.
func TestVerifiedBodyWithholdsEndOfCorruptBody(t *testing.T) {
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
		in := NewVerifiedBody(io.NopCloser(bytes.NewReader(received)), func() http.Header { return trailer })
		got, err := io.ReadAll(in)
		if !errors.Is(err, ErrBodyCorrupt) {
			t.Fatalf("error %v, want ErrBodyCorrupt", err)
		}
		if len(received) > 0 && len(got) >= len(received) {
			t.Fatalf("all %d bytes of a corrupt body were passed on", len(got))
		}
	})
}

// sentBytes returns the bytes on the wire of a request with this body.
func sentBytes(body []byte) []byte {
	req, _ := http.NewRequest(http.MethodPost, "http://127.0.0.1/", nil)
	SetRequestBody(req, io.NopCloser(bytes.NewReader(body)))
	sent, _ := io.ReadAll(iotest.OneByteReader(req.Body))
	return sent
}

// received returns a request as the receiving daemon sees it.
func received(sent []byte, length int64, oneByte bool) *http.Request {
	var src io.Reader = bytes.NewReader(sent)
	if oneByte {
		src = iotest.OneByteReader(src)
	}
	r := &http.Request{ContentLength: length, Body: io.NopCloser(src)}
	ReceiveRequest(r)
	return r
}

// Guards against a request body that is changed, or has a wrong length, at some size of the reads.
func TestReceiveRequestPassesIntactBody(t *testing.T) {
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

// Guards against passing on all bytes of a truncated or changed request body. A backend server that
// counts bytes would run the request.
func TestReceiveRequestWithholdsEndOfCorruptBody(t *testing.T) {
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
		if !errors.Is(err, ErrBodyCorrupt) {
			t.Fatalf("error %v, want ErrBodyCorrupt", err)
		}
		if len(got) >= len(body) {
			t.Fatalf("all %d bytes of a corrupt body were passed on", len(got))
		}
	})
}

// Guards against sending a digest after the source of a body failed. The receiver would take the
// truncated body for complete.
func TestRequestBodySendsNoDigestOnError(t *testing.T) {
	req, _ := http.NewRequest("POST", "http://127.0.0.1/", nil)
	SetRequestBody(req, io.NopCloser(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF))))
	got, err := io.ReadAll(req.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != "abc" {
		t.Fatalf("got %q and error %v", got, err)
	}
}

// Guards against callers that set the daemons' own headers, also with an underscore in the name,
// and against forwarding the headers that a Connection header lists.
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
