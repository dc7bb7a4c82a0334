package operation

import (
	"container/list"
	"net/http"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// MaxResponseBytes bounds a recorded response, headers and body together.
const MaxResponseBytes = 64 << 10

// entryOverheadBytes is counted for the data structures of an entry, rounded up from their sizes.
const entryOverheadBytes = 512

// Response is the backend server's response to an operation. It must not be changed once it was
// passed to Finish.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyLength and BodyDigest describe the whole body. Finish fills them in when Recorded is set.
	BodyLength int64
	BodyDigest Digest
	// Recorded is true when Body is the whole body. The caller of Finish sets it to false when it
	// did not keep the whole body.
	Recorded bool
}

// recordBytes returns the memory that the response is counted with: names and values of headers, 32
// bytes per header, 16 bytes per value, and the body.
func (r *Response) recordBytes() int64 {
	n := int64(len(r.Body))
	for name, values := range r.Header {
		n += int64(len(name)) + 32
		for _, v := range values {
			n += int64(len(v)) + 16
		}
	}
	return n
}

// forRecord returns a copy of the response for the record. A response that is incomplete or larger
// than MaxResponseBytes is kept without body and headers.
func (r *Response) forRecord() *Response {
	if r == nil {
		return &Response{}
	}
	kept := *r
	if kept.Recorded {
		kept.BodyLength, kept.BodyDigest = int64(len(r.Body)), DigestOf(r.Body)
	}
	if !kept.Recorded || kept.recordBytes() > MaxResponseBytes {
		kept.Body, kept.Header, kept.Recorded = nil, nil, false
	}
	return &kept
}

// Result is how a run ended.
type Result struct {
	// Outcome is Answered with a Response. It is NotRun only when it is certain that no byte
	// reached a backend server. Otherwise it is Unknown.
	Outcome  errkind.Outcome
	Response *Response
	// Kind is returned for repeats after an unknown outcome. A kind that stands for another outcome
	// is replaced by internal.
	Kind errkind.Kind
}

func (r Result) unknownKind() errkind.Kind {
	if r.Kind.Answer().Outcome != errkind.Unknown {
		return errkind.Internal
	}
	return r.Kind
}

// entryState is the state of the entry of a key.
//
// Begin adds an entry as running. Finish moves it to answered, notRun or unknown. From notRun, the
// next Begin with the key moves it back to running. The other two are final. Ended entries are
// removed some time after they expire, and notRun entries also to make room. A running entry is
// never removed.
type entryState uint8

const (
	running entryState = iota
	answered
	notRun
	unknown
)

// entry is the record of one key.
type entry struct {
	request Request
	state   entryState
	// run is the number of the last run, and done is closed when it ends.
	run      uint64
	done     chan struct{}
	response *Response
	kind     errkind.Kind
	// expiresMilli is when an ended entry may be removed, in Unix milliseconds by the owner's
	// clock.
	expiresMilli int64
	// heapIndex is the position in Memory.byExpiry. notRunElement is the element in
	// Memory.notRunEntries, or nil.
	heapIndex     int
	notRunElement *list.Element
	// baseBytes is the size without the response. chargedBytes is what the entry is counted with
	// now.
	baseBytes, chargedBytes int64
}

func entryBytes(r Request) int64 {
	return entryOverheadBytes + int64(len(r.Customer)+len(r.Route)+len(r.Key.Owner))
}

func refuse(reason Refusal, detail string) Decision {
	return Decision{Action: Refuse, Err: reason.Error(detail)}
}

// expiryHeap orders ended entries by their expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresMilli < h[j].expiresMilli }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
