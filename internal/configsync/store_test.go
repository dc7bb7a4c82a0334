package configsync

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"

	"github.com/cowsliprun/cowsliprun/internal/compress"
)

// Compares the store with a map. Guards against an order of arrival that lowers a revision,
// replaces content at an equal revision, or gives equal stores different digests.
func TestStoreAgainstModel(t *testing.T) {
	type entry struct {
		revision uint64
		content  string
	}
	rapid.Check(t, func(t *rapid.T) {
		s, model := NewStore(), map[string]entry{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"index", "vms", "contracts/000"}).Draw(t, "name")
				e := entry{rapid.Uint64Range(1, 6).Draw(t, "revision"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content")}
				held, want := model[name], Stored
				switch {
				case held.revision > e.revision:
					want = Older
				case held.revision == e.revision && held.content == e.content:
					want = Same
				case held.revision == e.revision:
					want = Conflict
				default:
					model[name] = e
				}
				got, before, err := s.Put(name, e.revision, compress.Pack([]byte(e.content)))
				if got != want || before != held.revision || err != nil {
					t.Fatalf("Put = %d, %d, %v; want %d, %d", got, before, err, want, held.revision)
				}
			},
			"": func(t *rapid.T) {
				rebuilt, highest := NewStore(), uint64(0)
				for name, e := range model {
					highest = max(highest, e.revision)
					if _, _, err := rebuilt.Put(name, e.revision, compress.Pack([]byte(e.content))); err != nil {
						t.Fatal(err)
					}
					v, _ := s.Get(name)
					if content, err := v.Content(); err != nil || string(content) != e.content || v.Revision.Number != e.revision {
						t.Fatalf("%s = %q at %d, want %+v", name, content, v.Revision.Number, e)
					}
				}
				if s.Digest() != rebuilt.Digest() || len(s.Revisions()) != len(model) || s.HighestRevision() != highest {
					t.Fatalf("digest, list or highest revision differ from a store filled in another order")
				}
			},
		})
	})
}

// Guards against values that would exhaust the memory of a daemon or could not be applied.
func TestStoreRefusesInvalidValues(t *testing.T) {
	s := NewStore()
	for _, c := range []struct {
		name     string
		revision uint64
		data     []byte
		want     error
	}{
		{"index", 0, compress.Pack(nil), ErrZeroRevision},
		{"", 1, compress.Pack(nil), ErrInvalidName},
		{"contracts/../x", 1, compress.Pack(nil), ErrInvalidName},
		{strings.Repeat("a", maxNameBytes+1), 1, compress.Pack(nil), ErrInvalidName},
		{"index", 1, []byte("plain"), ErrInvalidContent},
		{"index", 1, compress.Pack([]byte("cut"))[:20], ErrInvalidContent},
		{"index", 1, compress.Pack(bytes.Repeat([]byte("x"), maxContentBytes+1)), ErrInvalidContent},
	} {
		if outcome, _, err := s.Put(c.name, c.revision, c.data); outcome != Invalid || !errors.Is(err, c.want) {
			t.Errorf("Put(%q, %d) = %d, %v, want %v", c.name, c.revision, outcome, err, c.want)
		}
	}
	for i := range maxValues {
		if _, _, err := s.Put(fmt.Sprint(i), 1, compress.Pack(nil)); err != nil {
			t.Fatal(err)
		}
	}
	if outcome, _, err := s.Put("one-more", 1, compress.Pack(nil)); outcome != Invalid || !errors.Is(err, ErrTooManyValues) {
		t.Errorf("Put into a full store = %d, %v", outcome, err)
	}
}
