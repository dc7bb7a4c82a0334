// Package compress compresses and decompresses data with gzip. Writers and readers are pooled,
// because a new gzip.Writer takes 800 KB of memory. Its functions are safe for concurrent use.
package compress

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"
)

// ErrTooLarge is returned by Unpack for data that decompresses to more than the limit.
var ErrTooLarge = errors.New("decompressed content is larger than the limit")

var (
	writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}
	readers = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// Pack returns content compressed with gzip.
func Pack(content []byte) []byte {
	var b bytes.Buffer
	w, _ := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	_, _ = w.Write(content) // writing to a bytes.Buffer does not fail
	_ = w.Close()
	return b.Bytes()
}

// Unpack decompresses what Pack returned, up to limit bytes. It returns ErrTooLarge for more, and
// an error of compress/gzip or io for data that is not valid gzip.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, _ := readers.Get().(*gzip.Reader)
	defer readers.Put(r)
	if err := r.Reset(bytes.NewReader(packed)); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, ErrTooLarge
	}
	return content, nil
}
