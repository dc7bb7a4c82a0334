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
		var got []byte
		buf := make([]byte, size)
		for {
			n, err := in.Read(buf)
			got = append(got, buf[:n]...)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
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

// The trailers must stay unset when the source fails, so that the receiver sees a broken body.
func TestOutgoingSetsNoTrailerOnError(t *testing.T) {
	req, _ := http.NewRequest("POST", "http://127.0.0.1/", nil)
	AttachOutgoing(req, io.NopCloser(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF))))
	if _, err := io.ReadAll(req.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("error %v", err)
	}
	if req.Trailer.Get(TrailerLength) != "" {
		t.Errorf("trailers %v were set for a cut body", req.Trailer)
	}
}

// A caller must not be able to set headers of the system, and connection options must not pass a hop.
func TestCopyHeadersDropsInternalAndHopByHop(t *testing.T) {
	dst := http.Header{}
	CopyHeaders(dst, http.Header{
		"Cowslip-Customer":  {"other"},
		"Connection":        {"close, X-Local"},
		"X-Local":           {"1"},
		"Transfer-Encoding": {"chunked"},
		"X-Kept":            {"1"},
	})
	if len(dst) != 1 || dst.Get("X-Kept") != "1" {
		t.Errorf("copied %v", dst)
	}
}
