package contract

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
	"pgregory.net/rapid"
)

// drawResidue draws a residue in which each of three documents is missing, kept or deleted.
func drawResidue(t *rapid.T, label string) Residue {
	var out Residue
	for _, name := range []string{"a", "b", "c"} {
		generation := rapid.Uint64Range(1, 3).Draw(t, label+" generation")
		switch rapid.IntRange(0, 2).Draw(t, label+" "+name) {
		case 1:
			region := rapid.SampledFrom([]string{"r", "s", "t"}).Draw(t, label+" region")
			out.Kept.Add(&DataCentre{APIVersion: APIVersion, Kind: KindDataCentre, DataCentre: name, Generation: generation, Region: region})
		case 2:
			out.Tombstones = append(out.Tombstones, Tombstone{Ref{KindDataCentre, name}, generation, rapid.Uint64Range(1, 9).Draw(t, "revision")})
		}
	}
	return out
}

func mustEncode(t interface{ Fatal(...any) }, r Residue) []byte {
	data, _, err := EncodeResidue(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against residues that depend on the order in which daemons exchange them, so that the
// fleet never converges. The join must be commutative, associative and idempotent, and survive
// encoding.
func TestJoinResiduesIsSemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawResidue(t, "a"), drawResidue(t, "b"), drawResidue(t, "c")
		requireEqual := func(law string, x, y Residue) {
			if !bytes.Equal(mustEncode(t, x), mustEncode(t, y)) {
				t.Fatalf("law %s is violated: %+v and %+v", law, x, y)
			}
		}
		ab := JoinResidues(a, b)
		requireEqual("commutative", ab, JoinResidues(b, a))
		requireEqual("associative", JoinResidues(ab, c), JoinResidues(a, JoinResidues(b, c)))
		requireEqual("idempotent", JoinResidues(a, a), a)
		requireEqual("absorbing", JoinResidues(ab, a), ab)
		data := mustEncode(t, ab)
		if data == nil {
			return
		}
		decoded, bad, err := DecodeResidue(ValueDataCentres, data, nil)
		if err != nil || len(bad) > 0 {
			t.Fatal(bad, err)
		}
		requireEqual("encoding", decoded, ab)
	})
}

// Guards against two daemons that merge the same value and exchange residues in different orders,
// but end in different states. Also guards against a join that lowers a generation or restores a
// deleted document.
func TestResidueMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := Value{Documents: drawResidue(t, "value").Kept}
		if rapid.Bool().Draw(t, "bad") {
			value.Bad = []BadDocument{{Ref: Ref{KindDataCentre, rapid.SampledFrom([]string{"a", "z", ""}).Draw(t, "bad name")}}}
		}
		x, _ := MergeWithResidues(ValueDataCentres, InForce{}, 9, value, drawResidue(t, "x"))
		y, _ := MergeWithResidues(ValueDataCentres, InForce{}, 9, value, drawResidue(t, "y"))
		rx, ry := x.Residue(value), y.Residue(value)
		xy, _ := MergeWithResidues(ValueDataCentres, x, 9, value, ry)
		yx, _ := MergeWithResidues(ValueDataCentres, y, 9, value, rx)
		fresh, _ := MergeWithResidues(ValueDataCentres, InForce{}, 9, value, ry, rx)
		want := mustEncode(t, xy.Residue(value))
		for _, other := range []InForce{yx, fresh} {
			if !bytes.Equal(want, mustEncode(t, other.Residue(value))) || !slices.EqualFunc(xy.Documents.All(), other.Documents.All(), sameContent) {
				t.Fatalf("states after different orders: %+v and %+v", xy, other)
			}
		}
		after := byRef(xy.Documents)
		for ref, doc := range byRef(x.Documents) {
			if now := after[ref]; now != nil && now.Version() < doc.Version() {
				t.Fatalf("%s went from generation %d to %d", ref, doc.Version(), now.Version())
			}
		}
		for _, d := range slices.Concat(rx.Tombstones, ry.Tombstones) {
			if now := after[d.Ref]; now != nil && now.Version() <= d.Generation {
				t.Fatalf("%s is in force at generation %d and was deleted at %d", d.Ref, now.Version(), d.Generation)
			}
		}
	})
}

// Guards against a peer's residue that is accepted without the checks of a value, and against an
// invalid entry that makes the whole residue unusable. Sizes and numbers of tombstones are limited
// too.
func TestDecodeResidueRejectsInvalidEntries(t *testing.T) {
	const good = `{"apiVersion":"cowsliprun/v1","kind":"DataCentre","dataCentre":"a","generation":1,"region":"r"}`
	deleted := func(kind, name string, generation int) string {
		return fmt.Sprintf(`{"ref":{"kind":%q,"name":%q},"generation":%d,"revision":1}`, kind, name, generation)
	}
	text := fmt.Sprintf(`{"documents":[%s,%s],"deleted":[%s,%s,%s,%s]}`, good, strings.Replace(good, `"region":"r"`, `"region":7`, 1),
		deleted("DataCentre", "b", 2), deleted("VM", "b", 2), deleted("DataCentre", "c", 0), deleted("", "d", 1))
	r, bad, err := DecodeResidue(ValueDataCentres, []byte(text), nil)
	if err != nil || len(bad) != 5 || len(r.Tombstones) != 1 || len(r.Kept.All()) != 0 {
		t.Errorf("DecodeResidue: %+v, bad %+v, %v", r, bad, err) // both copies of a repeated document are refused
	}
	for _, text := range []string{``, `[]`, `{"x":1}`, `{"deleted":[{"x":1}]}`} {
		if _, _, err := DecodeResidue(ValueDataCentres, []byte(text), nil); err == nil {
			t.Errorf("the malformed residue %q was accepted", text)
		}
	}
	if _, _, err := DecodeResidue(ValueDataCentres, make([]byte, MaxResidueBytes+1), nil); err == nil {
		t.Error("a residue over the size limit was accepted")
	}
	var full Residue
	for i := range 2 * MaxTombstones {
		full.Tombstones = append(full.Tombstones, Tombstone{Ref{KindDataCentre, fmt.Sprint(i)}, 1, uint64(i)})
	}
	if r, _, err := DecodeResidue(ValueDataCentres, mustEncode(t, full), nil); err != nil || len(r.Tombstones) != MaxTombstones || r.Tombstones[0].Revision != MaxTombstones {
		t.Errorf("%d tombstones starting at revision %d, error %v", len(r.Tombstones), r.Tombstones[0].Revision, err)
	}
}

// Guards against claims beyond MaxClaims that are dropped without a report, and against an invalid
// claim of a peer that is accepted.
func TestResidueClaimsAreBoundedAndChecked(t *testing.T) {
	ref := Ref{KindContract, "grocer"}
	var r Residue
	for i := range MaxClaims + 2 {
		r.Claims = append(r.Claims, Claim{ref, fmt.Sprintf("%03d", i), 7}, Claim{ref, fmt.Sprintf("%03d", i), 9})
	}
	data, omitted, err := EncodeResidue(r)
	if err != nil || len(omitted.Claims) != 2 || omitted.Claims[0] != (Claim{ref, "256", 7}) {
		t.Errorf("omitted %v, error %v", omitted, err)
	}
	decoded, bad, err := DecodeResidue(ValueOf(ref), data, nil)
	if err != nil || len(bad) > 0 || len(decoded.Claims) != MaxClaims || decoded.Claims[0] != (Claim{ref, "000", 7}) {
		t.Errorf("%d claims, bad %v, error %v", len(decoded.Claims), bad, err)
	}
	for _, c := range []Claim{{ref, "", 7}, {ref, "k", 0}, {Ref{KindContract, ""}, "k", 7}, {Ref{"Other", "grocer"}, "k", 7}, {Ref{KindService, "grocer"}, "k", 7}} {
		data, _, err := EncodeResidue(Residue{Claims: []Claim{c}})
		if err != nil {
			t.Fatal(err)
		}
		if r, bad, err := DecodeResidue(ValueOf(ref), data, nil); err != nil || len(bad) != 1 || len(r.Claims) > 0 {
			t.Errorf("invalid claim %+v: decoded %+v, bad %v, error %v", c, r.Claims, bad, err)
		}
	}
}
