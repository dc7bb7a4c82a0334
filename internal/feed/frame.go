package feed

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// Path is the path of the stream at the peer listener. The query may hold afterParam and
// readerParam.
const Path = "/cowslip.feed/4"

const (
	// afterParam is the revision up to which the follower has the full state. Without it, the
	// stream begins with the full state.
	afterParam = "after"
	// readerParam is set if the follower relies on this daemon to read the store.
	readerParam = "reader"
)

// Timing of streams.
const (
	// heartbeatInterval is the longest time between two frames of a stream. While a reader reaches the
	// store, its responses cause frames more often.
	heartbeatInterval = 600 * time.Millisecond
	// streamTimeout is the time without a frame after which a stream counts as broken. It allows
	// for two heartbeats or the delay of a lost packet.
	streamTimeout = 1300 * time.Millisecond
	// storeTimeout is the time since the store was last known to answer a reader after which other
	// daemons try. Each daemon counts it by itself, from what reached it, so it covers a reader that is
	// silent, one that the store does not answer, and whatever lies between. It allows for a lost
	// probe, or a lost packet on the way.
	storeTimeout = 1300 * time.Millisecond
	// contactStep is how much later the store was heard of when a status is due before the next
	// heartbeat.
	contactStep = 300 * time.Millisecond
	// frameTimeout bounds the transfer of one message that makes progress, so that one without end
	// holds nobody.
	frameTimeout = 10 * time.Second
)

const (
	// maxFrameBytes bounds one frame, uncompressed: the full state of 14,000 backend servers, or a
	// configuration with 26,000 routes and 37,000 organisations with two keys each.
	maxFrameBytes = 24 << 20
	// minCompressedBytes is the size from which a frame is compressed.
	minCompressedBytes = 512
	// frameHeaderBytes is the size of a frame's header: one byte that is 1 if the frame is
	// compressed, and its length.
	frameHeaderBytes = 5
)

// errFrameTooLong ends a stream whose peer sends a frame above maxFrameBytes.
var errFrameTooLong = errors.New("a frame of the stream is longer than its limit")

// frame is one message of a stream. On the wire it is JSON with a header.
type frame struct {
	// Full means that Changes holds the sender's full state but for the configuration, as of Revision
	// or later. Complete means that this state has been as new as the store at some time since the
	// sender's start.
	Full     bool              `json:"full,omitempty"`
	Complete bool              `json:"complete,omitempty"`
	Revision uint64            `json:"revision,omitempty"`
	Changes  []registry.Change `json:"changes,omitempty"`
	// Status is set in a frame without changes.
	Status *status `json:"status,omitempty"`
	// RemovalHoldMs is the remaining time in milliseconds for which removals are held; see
	// registry.Table.HoldRemovals.
	RemovalHoldMs int64 `json:"holdMs,omitempty"`
}

// status says how complete and how new the sender's state is.
type status struct {
	// Revision is the store revision up to which the sender has all registrations.
	Revision uint64 `json:"revision"`
	// Configuration is the version of the sender's configuration, 0 if it has none. It is the latest
	// one up to the revision ConfiguredUpTo.
	Configuration  uint64 `json:"configuration,omitempty"`
	ConfiguredUpTo uint64 `json:"configuredUpTo,omitempty"`
	// Reading means that the sender reads the store and its latest call succeeded, or without a state
	// that its first list makes progress.
	Reading bool `json:"reading,omitempty"`
	// Complete means that the sender's state has been complete and as new as the store at some time
	// since its start. AgeMs is the time since then in milliseconds.
	Complete bool  `json:"complete,omitempty"`
	AgeMs    int64 `json:"ageMs,omitempty"`
	// StoreAgeMs is the time in milliseconds since the store was known to answer a reader. It is less
	// than AgeMs while a change is on its way.
	StoreAgeMs int64 `json:"storeAgeMs,omitempty"`
	// Settled means that the era of Revision, if it is not the first one, has lasted so long that reads of
	// the store show all that was acknowledged.
	Settled bool `json:"settled,omitempty"`
	// ConfirmedMs and ConfirmedConfiguration are the latest keylease.Confirmation of the sender, by its
	// own clock in milliseconds. 0 means no other one than the stream has had, and no other version than
	// Configuration.
	ConfirmedMs            int64  `json:"confirmedMs,omitempty"`
	ConfirmedConfiguration uint64 `json:"confirmedConfiguration,omitempty"`
	// Clock identifies the sender's clock. Only the first status of a stream has it.
	Clock uint64 `json:"clock,omitempty"`
}

// age returns AgeMs as a duration, storeAge StoreAgeMs.
func (s *status) age() time.Duration      { return time.Duration(s.AgeMs) * time.Millisecond }
func (s *status) storeAge() time.Duration { return time.Duration(s.StoreAgeMs) * time.Millisecond }

// encode returns a frame as it is sent.
func (f *frame) encode() ([]byte, error) { return encodeMessage(f) }

// encodeMessage returns a message as it is sent: JSON with a header.
func encodeMessage(message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	header := make([]byte, frameHeaderBytes)
	if len(body) >= minCompressedBytes {
		header[0] = 1
		body = compress.Pack(body)
	}
	binary.BigEndian.PutUint32(header[1:], uint32(len(body)))
	return append(header, body...), nil
}

// frameReader reads the messages of another daemon.
type frameReader struct {
	source io.Reader
	// progress is called for each part that arrives.
	progress func()
	// received counts the bytes of the message that is being read.
	received atomic.Int64
}

func (r *frameReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.received.Add(int64(n))
		r.progress()
	}
	return n, err
}

// readFrame reads one frame. It calls begun once the header has arrived.
func readFrame(r io.Reader, begun func()) (frame, error) {
	var f frame
	err := readMessage(r, begun, &f)
	return f, err
}

// readMessage reads what encodeMessage returned. It calls begun once the header has arrived.
func readMessage(r io.Reader, begun func(), message any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	begun()
	length := int64(binary.BigEndian.Uint32(header[1:]))
	if length > maxFrameBytes {
		return errFrameTooLong
	}
	// The buffer grows with what arrives, so that a length alone takes no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, length); err != nil {
		return err
	}
	content := body.Bytes()
	if header[0] == 1 {
		unpacked, err := compress.Unpack(content, maxFrameBytes)
		if errors.Is(err, compress.ErrTooLarge) {
			return errFrameTooLong
		}
		if err != nil {
			return err
		}
		content = unpacked
	}
	return json.Unmarshal(content, message)
}
