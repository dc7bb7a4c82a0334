package operation

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"
)

var testTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func testKey(t testing.TB, now time.Time, owner string, incarnation uint64) Key {
	t.Helper()
	k, err := NewKey(now, owner, incarnation, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Guards against a key that changes when it is encoded and parsed, and then names another owner or
// operation.
func TestKeyRoundTrip(t *testing.T) {
	for _, owner := range []string{"a", "vm-17.reykjavik", strings.Repeat("x", MaxOwnerBytes)} {
		k := testKey(t, testTime, owner, 1<<63+5)
		back, err := ParseKey(k.String())
		if err != nil || back != k {
			t.Errorf("ParseKey(%q) = %+v, %v", k, back, err)
		}
	}
}

// Guards against a parser that accepts two spellings of one key: they would be two keys for one
// operation, or one key for two. Also guards against keys that are issued with an invalid owner or
// without all random bits.
func TestParseKeyIsStrict(t *testing.T) {
	good := testKey(t, testTime, "vm1", 7).String()
	raw, _ := base64.RawURLEncoding.DecodeString(good)
	change := func(i int, b byte) string {
		c := bytes.Clone(raw)
		c[i] = b
		return base64.RawURLEncoding.EncodeToString(c)
	}
	cases := map[string]struct {
		text string
		want error
	}{
		"empty":         {"", ErrKeyLength},
		"padding":       {good + "=", ErrKeyEncoding},
		"line break":    {good[:4] + "\n" + good[4:], ErrKeyEncoding},
		"standard":      {"+/" + good[2:], ErrKeyEncoding},
		"truncated":     {base64.RawURLEncoding.EncodeToString(raw[:len(raw)-3]), ErrKeyLength},
		"longer":        {base64.RawURLEncoding.EncodeToString(append(bytes.Clone(raw), 0)), ErrKeyLength},
		"huge":          {strings.Repeat("A", MaxEncodedBytes+1), ErrKeyLength},
		"version":       {change(0, 2), ErrKeyVersion},
		"owner length":  {change(1, 4), ErrKeyLength},
		"owner space":   {change(2, ' '), ErrKeyOwner},
		"owner control": {change(2, 0), ErrKeyOwner},
		"negative time": {change(13, 0x80), ErrKeyTime},
	}
	for name, c := range cases {
		if _, err := ParseKey(c.text); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
	if _, err := NewKey(testTime, "", 1, rand.Reader); !errors.Is(err, ErrKeyOwner) {
		t.Errorf("key without owner: %v", err)
	}
	if _, err := NewKey(testTime, "vm1", 1, strings.NewReader("short")); err == nil {
		t.Error("key without enough random bits was issued")
	}
}

// FuzzParseKey guards against panics on callers' input and against two spellings of one key.
func FuzzParseKey(f *testing.F) {
	f.Add(testKey(f, testTime, "vm1", 7).String())
	f.Add("")
	f.Add("AQ")
	f.Add("AQH_AAAA")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			return
		}
		if k.String() != s {
			t.Errorf("%q was parsed as the key %q", s, k)
		}
	})
}
