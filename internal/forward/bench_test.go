package forward

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}

// BenchmarkDigest compares copying a body with and without its length and digest. The difference is
// the cost of proving that a body is complete.
func BenchmarkDigest(b *testing.B) {
	body := make([]byte, 1<<20)
	trailer := trailersOf(body)
	stream := func() io.ReadCloser { return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)}) }
	for _, c := range []struct {
		name string
		copy func() error
	}{
		{"send-with-digest", func() error { _, err := CopyResponse(&discardWriter{http.Header{}}, stream()); return err }},
		{"send-without", func() error { return Copy(&discardWriter{http.Header{}}, stream(), nil) }},
		{"receive-with-digest", func() error {
			return Copy(&discardWriter{http.Header{}}, NewVerifiedBody(stream(), func() http.Header { return trailer }), nil)
		}},
		{"receive-without", func() error { return Copy(&discardWriter{http.Header{}}, stream(), nil) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				if err := c.copy(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
