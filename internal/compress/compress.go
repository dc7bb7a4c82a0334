// Package compress packs content with gzip. Writers and readers are kept, because a new writer takes 800 KB of memory.
package compress

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"
)

// ErrTooLarge reports content above the limit.
var ErrTooLarge = errors.New("content is larger than the limit")

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
	_, _ = w.Write(content) // a bytes.Buffer accepts everything
	_ = w.Close()
	return b.Bytes()
}

// Unpack returns the content of packed data. The error is ErrTooLarge above limit bytes, or that of gzip.
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
