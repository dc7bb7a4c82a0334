package operation

import (
	"container/list"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// MaxResponseBytes bounds a recorded response, headers and body together.
const MaxResponseBytes = 64 << 10

// entryOverhead is charged for the structures of an entry, rounded up from their sizes.
const entryOverhead = 512

// Response is the backend server's response to an operation. It must not be changed after Finish.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyLength and BodyDigest describe the whole body. Finish fills them in when Body is set.
	BodyLength int64
	BodyDigest Digest
	// Recorded is true when Body is whole. The caller of Finish sets it to false when it did not keep the whole body.
	Recorded bool
}

func (r *Response) bytes() int64 {
	n := int64(len(r.Body))
	for name, values := range r.Header {
		n += int64(len(name)) + 32
		for _, v := range values {
			n += int64(len(v)) + 16
		}
	}
	return n
}

// recorded returns the part of the response that is kept: all of it, or without body and headers when it is too large.
func (r *Response) recorded() *Response {
	if r == nil {
		return &Response{}
	}
	kept := *r
	if kept.Recorded {
		kept.BodyLength, kept.BodyDigest = int64(len(r.Body)), DigestOf(r.Body)
	}
	if !kept.Recorded || kept.bytes() > MaxResponseBytes {
		kept.Body, kept.Header, kept.Recorded = nil, nil, false
	}
	return &kept
}

// Result is how a run ended.
type Result struct {
	// Outcome is Answered with Response, NotRun only when it is certain that no byte reached a backend server, else Unknown.
	Outcome  errkind.Outcome
	Response *Response
	// Kind is given to repeats after an unknown outcome. A kind with another outcome is replaced by internal.
	Kind errkind.Kind
}

func (r Result) unknownKind() errkind.Kind {
	if r.Kind.Answer().Outcome != errkind.Unknown {
		return errkind.Internal
	}
	return r.Kind
}

type state uint8

const (
	running state = iota
	answered
	notRun
	unknown
)

// entry is the record of one key.
type entry struct {
	request  Request
	state    state
	run      uint64
	done     chan struct{}
	response *Response
	kind     errkind.Kind
	// end is when the entry may be forgotten, in Unix milliseconds by the owner's clock.
	end     int64
	index   int
	element *list.Element
	// base is the size without the response; charged is what the entry counts now.
	base, charged int64
}

func entryBytes(r Request) int64 {
	return entryOverhead + int64(len(r.Customer)+len(r.Route)+len(r.Key.Owner))
}

func refuse(s Situation, detail string) Decision {
	return Decision{Action: Refuse, Err: s.Error(detail)}
}

// endHeap orders ended entries by their end.
type endHeap []*entry

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h endHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *endHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
