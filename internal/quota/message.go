package quota

import (
	"encoding/binary"
	"errors"
	"time"
)

// MaxMessageBytes bounds an encoded Ask or Answer.
const MaxMessageBytes = 4 << 10

const (
	// askVersion is the first byte of an encoded Ask.
	askVersion = 1
	// maxReturns bounds the returns of one Ask.
	maxReturns = 8
	// maxWant bounds the tokens of one Ask.
	maxWant = 1 + maxExtra
)

var errMalformed = errors.New("malformed quota message")

// Ask asks the holder of a part for tokens, and returns some that it granted before.
type Ask struct {
	Organisation string
	// Part is the number of the part in the holder's region.
	Part, Want int
	// Returns are tokens that the process Epoch granted.
	Epoch   uint32
	Returns []Return
}

// Return is a number of unused tokens that were granted at the same time.
type Return struct {
	Stamp  uint32
	Tokens int
}

// Status is the kind of an Answer.
type Status uint8

// The kinds of answers.
const (
	// NotHolder: the daemon does not hold the part.
	NotHolder Status = iota
	// Granted: Tokens of them, which the process Epoch granted at Stamp.
	Granted
	// Refused: there is no token. One may be there after Free, and the entry is to come back after Wait.
	Refused
)

// Answer is the answer of a daemon to an Ask.
type Answer struct {
	Status     Status
	Tokens     int
	Epoch      uint32
	Stamp      uint32
	Wait, Free time.Duration
}

// Append appends the encoded ask.
func (a *Ask) Append(to []byte) []byte {
	to = append(to, askVersion)
	to = binary.AppendUvarint(to, uint64(a.Part))
	to = binary.AppendUvarint(to, uint64(a.Want))
	to = binary.AppendUvarint(to, uint64(len(a.Returns)))
	if len(a.Returns) > 0 {
		to = binary.BigEndian.AppendUint32(to, a.Epoch)
	}
	for _, r := range a.Returns {
		to = binary.AppendUvarint(to, uint64(r.Stamp))
		to = binary.AppendUvarint(to, uint64(r.Tokens))
	}
	return append(to, a.Organisation...)
}

// DecodeAsk reads an encoded ask.
func DecodeAsk(data []byte) (Ask, error) {
	r := reader{data: data}
	if r.byte() != askVersion {
		return Ask{}, errMalformed
	}
	a := Ask{Part: r.number(maxRegionParts - 1), Want: r.number(maxWant)}
	if n := r.number(maxReturns); n > 0 {
		a.Epoch = r.uint32()
		a.Returns = make([]Return, n)
		for i := range a.Returns {
			a.Returns[i] = Return{uint32(r.number(1<<32 - 1)), r.number(maxSlotGrants)}
		}
	}
	if r.failed || len(r.data) == 0 || a.Want == 0 {
		return Ask{}, errMalformed
	}
	a.Organisation = string(r.data)
	return a, nil
}

// Append appends the encoded answer.
func (a *Answer) Append(to []byte) []byte {
	to = append(to, byte(a.Status))
	switch a.Status {
	case Granted:
		to = binary.AppendUvarint(to, uint64(a.Tokens))
		to = binary.BigEndian.AppendUint32(to, a.Epoch)
		to = binary.AppendUvarint(to, uint64(a.Stamp))
	case Refused:
		to = binary.AppendUvarint(to, uint64(a.Wait.Microseconds()))
		to = binary.AppendUvarint(to, uint64(a.Free.Microseconds()))
	}
	return to
}

// DecodeAnswer reads an encoded answer.
func DecodeAnswer(data []byte) (Answer, error) {
	r := reader{data: data}
	a := Answer{Status: Status(r.byte())}
	switch a.Status {
	case NotHolder:
	case Granted:
		a.Tokens, a.Epoch, a.Stamp = r.number(maxWant), r.uint32(), uint32(r.number(1<<32-1))
	case Refused:
		a.Wait = time.Duration(r.number(int(maxWait.Microseconds()))) * time.Microsecond
		a.Free = time.Duration(r.number(int(maxWait.Microseconds()))) * time.Microsecond
	default:
		return Answer{}, errMalformed
	}
	if r.failed || len(r.data) > 0 || a.Status == Granted && a.Tokens == 0 {
		return Answer{}, errMalformed
	}
	return a, nil
}

// reader reads the fields of a message. After a malformed field it returns 0.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.failed = true
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *reader) uint32() uint32 {
	if len(r.data) < 4 {
		r.failed = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.data)
	r.data = r.data[4:]
	return v
}

// number reads a number of at most limit.
func (r *reader) number(limit int) int {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > uint64(limit) {
		r.failed, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return int(v)
}
