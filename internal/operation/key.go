package operation

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

// KeyFormatVersion is the only version of the key format that this code issues and reads.
const KeyFormatVersion = 1

// MaxOwnerBytes bounds the name of the owner's VM in a key.
const MaxOwnerBytes = 64

const (
	randomBytes = 16
	// fixedBytes is the size of all fields but the owner's name: version, length of the name,
	// incarnation, issue time and random part.
	fixedBytes = 1 + 1 + 8 + 8 + randomBytes
	// MaxEncodedBytes is the length of the longest encoded key.
	MaxEncodedBytes = ((fixedBytes+MaxOwnerBytes)*4 + 2) / 3
	// maxIssuedMilli is the end of the year 9999, the last year that time formats can show.
	maxIssuedMilli = 253402300799999
)

// Errors that ParseKey and NewKey wrap.
var (
	ErrKeyEncoding = errors.New("operation key is not in canonical base64url without padding")
	ErrKeyLength   = errors.New("operation key has the wrong length")
	ErrKeyVersion  = errors.New("operation key has an unsupported version")
	ErrKeyOwner    = errors.New("operation key has an invalid owner name")
	ErrKeyTime     = errors.New("operation key has an issue time out of range")
)

// Key names one operation and the process that may run it. Keys are comparable.
type Key struct {
	// Owner is the VM of the owner, 1 to MaxOwnerBytes printable ASCII characters without spaces.
	Owner string
	// Incarnation is the random number that the owner's process drew at its start.
	Incarnation uint64
	// IssuedMilli is the issue time in Unix milliseconds, by the clock of the entry that issued the
	// key.
	IssuedMilli int64
	// Random makes the key unique and impossible to guess.
	Random [randomBytes]byte
}

// NewKey returns a key for the owner that is issued at now. It reads the random part from random,
// which is crypto/rand.Reader outside tests. It fails if the owner's name or the time is out of
// range.
func NewKey(now time.Time, owner string, incarnation uint64, random io.Reader) (Key, error) {
	k := Key{Owner: owner, Incarnation: incarnation, IssuedMilli: now.UnixMilli()}
	if _, err := io.ReadFull(random, k.Random[:]); err != nil {
		return Key{}, fmt.Errorf("read random part of operation key: %w", err)
	}
	if err := k.validate(); err != nil {
		return Key{}, err
	}
	return k, nil
}

// Issued returns the issue time in UTC.
func (k Key) Issued() time.Time { return time.UnixMilli(k.IssuedMilli).UTC() }

func (k Key) validate() error {
	if len(k.Owner) == 0 || len(k.Owner) > MaxOwnerBytes {
		return fmt.Errorf("%w: %d bytes long, must be 1 to %d", ErrKeyOwner, len(k.Owner), MaxOwnerBytes)
	}
	for i := range len(k.Owner) {
		if c := k.Owner[i]; c <= ' ' || c > '~' {
			return fmt.Errorf("%w: contains byte 0x%02x", ErrKeyOwner, c)
		}
	}
	if k.IssuedMilli <= 0 || k.IssuedMilli > maxIssuedMilli {
		return fmt.Errorf("%w: %d ms since 1970", ErrKeyTime, k.IssuedMilli)
	}
	return nil
}

// String returns the encoded key, as sent in Cowslip-Operation-Key and Idempotency-Key.
func (k Key) String() string {
	b := make([]byte, 0, fixedBytes+len(k.Owner))
	b = append(b, KeyFormatVersion, byte(len(k.Owner)))
	b = append(b, k.Owner...)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(k.IssuedMilli))
	b = append(b, k.Random[:]...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// ParseKey decodes a key. Each key has exactly one encoding, and any other spelling is an error. So
// two spellings cannot be taken for two keys, nor for one. Errors wrap one of the ErrKey values.
func ParseKey(s string) (Key, error) {
	if len(s) > MaxEncodedBytes {
		return Key{}, fmt.Errorf("%w: %d characters, at most %d are allowed", ErrKeyLength, len(s), MaxEncodedBytes)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil {
		return Key{}, fmt.Errorf("%w: %w", ErrKeyEncoding, err)
	}
	if len(b) < 2 {
		return Key{}, fmt.Errorf("%w: %d bytes", ErrKeyLength, len(b))
	}
	if b[0] != KeyFormatVersion {
		return Key{}, fmt.Errorf("%w: %d", ErrKeyVersion, b[0])
	}
	if n := fixedBytes + int(b[1]); len(b) != n {
		return Key{}, fmt.Errorf("%w: %d bytes instead of %d", ErrKeyLength, len(b), n)
	}
	owner, rest := b[2:2+int(b[1])], b[2+int(b[1]):]
	k := Key{Owner: string(owner), Incarnation: binary.BigEndian.Uint64(rest), IssuedMilli: int64(binary.BigEndian.Uint64(rest[8:]))}
	copy(k.Random[:], rest[16:])
	if err := k.validate(); err != nil {
		return Key{}, err
	}
	// The decoder skips line breaks, so only a comparison shows whether the spelling is canonical.
	if k.String() != s {
		return Key{}, ErrKeyEncoding
	}
	return k, nil
}
