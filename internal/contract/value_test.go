package contract

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/cowsliprun/cowsliprun/internal/rapidseed"
)

// Guards against rendered values that differ between runs, because they depend on the order of
// files or map entries, and against fields that get lost when documents are encoded and decoded.
func TestRenderIsDeterministicAndComplete(t *testing.T) {
	docs := loadFleet(t)
	docs.VMs = append(docs.VMs, VM{VM: "a"}, VM{VM: "b"})
	docs.Services[0].Detector = map[string]float64{"a": 1, "b": 2, "c": 3, "d": 4}
	first, err := Render(docs)
	if err != nil {
		t.Fatal(err)
	}
	slices.Reverse(docs.VMs)
	again, err := Render(docs)
	if err != nil || !maps.EqualFunc(first, again, bytes.Equal) {
		t.Errorf("two renderings differ, error %v", err)
	}
	index, err := DecodeIndex(first[ValueIndex])
	if err != nil || len(index.Values) != len(ValueNames()) || len(first) != len(ValueNames())+1 {
		t.Fatalf("the index lists %d of %d rendered values, error %v", len(index.Values), len(first), err)
	}
	for name, entry := range index.Values {
		if entry.ContentHash != ContentHash(first[name]) {
			t.Errorf("the hash of %s in the index differs from that of its content", name)
		}
	}
	requireRoundTrip(t, loadFleet(t))
}

// Guards against a rendered value that the platform would refuse for its size, and against a daemon
// that decodes one.
func TestRenderRejectsOversizedValues(t *testing.T) {
	var docs Documents
	for i := range 20_000 {
		docs.VMs = append(docs.VMs, VM{VM: fmt.Sprintf("vm-%d", i), PeerAddress: "10.0.0.1:7001"})
	}
	if _, err := Render(docs); err == nil || !strings.Contains(err.Error(), "value vms has") {
		t.Errorf("Render of an oversized value: error %v", err)
	}
	if _, err := DecodeValue(ValueVMs, make([]byte, MaxValueBytes+1), nil); err == nil {
		t.Error("a value over the size limit was decoded")
	}
}

// Guards against a bad document that is accepted, or that makes the valid documents of its value
// unusable. Values that are malformed as a whole must be refused.
func TestBadDocumentsAreSkipped(t *testing.T) {
	const good = `{"apiVersion":"cowsliprun/v1","kind":"DataCentre","dataCentre":"a","generation":1,"region":"r"}`
	with := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for _, c := range []struct{ name, bad, problem string }{
		{"unknown field", with(`"generation"`, `"colour":1,"dataCentre2":"b","generation"`), "colour"},
		{"field name in other case", with(`"region"`, `"Region"`), "Region"},
		{"repeated field", with(`"region"`, `"region":"x","region"`), "region"},
		{"wrong type", with(`:1`, `:"1"`), "generation"},
		{"generation missing", with(`"generation":1,`, ``), "generation"},
		{"other kind", with(`"DataCentre"`, `"VM"`), "kind"},
		{"other version", with(`/v1`, `/v2`), "apiVersion"},
		{"no object", `7`, ""},
	} {
		text := fmt.Sprintf(`{"documents":[%s,%s]}`, strings.Replace(c.bad, `"a"`, `"b"`, 1), good)
		value, err := DecodeValue(ValueDataCentres, []byte(text), nil)
		if err != nil || len(value.Documents.DataCentres) != 1 || len(value.Bad) != 1 || !strings.Contains(value.Bad[0].Problem, c.problem) {
			t.Errorf("%s: %+v, %v", c.name, value, err)
		}
	}
	value, err := DecodeValue(ValueDataCentres, []byte(fmt.Sprintf(`{"documents":[%s,%s]}`, good, good)), nil)
	if err != nil || len(value.Documents.All()) != 0 || len(value.Bad) != 2 {
		t.Errorf("repeated document: %+v, %v", value, err)
	}
	if value, err := DecodeValue(ContractValue(0), fmt.Appendf(nil, `{"documents":[%s]}`, good), nil); err != nil || len(value.Bad) != 1 {
		t.Errorf("document of another kind: %+v, %v", value, err)
	}
	values, err := Render(loadFleet(t))
	if err != nil {
		t.Fatal(err)
	}
	bucket := ContractBucket("hotel-borg")
	moved, err := DecodeValue(ContractValue((bucket+1)%ContractBuckets), values[ContractValue(bucket)], nil)
	if err != nil || len(moved.Bad) != 1 || moved.Bad[0].Problem != "belongs to the value "+ContractValue(bucket) {
		t.Errorf("contract in the value of another customer: %+v, %v", moved, err)
	}
	for _, text := range []string{``, `{}`, `[]`, `{"documents":null}`, `{"documents":[],"x":1}`, `{"documents":[]} x`} {
		if _, err := DecodeValue(ValueVMs, []byte(text), nil); err == nil {
			t.Errorf("the malformed value %q was decoded", text)
		}
	}
}

// Guards against an unreadable value that deletes the documents in force or raises their revision,
// as if it had been merged.
func TestUnreadableValueChangesNothing(t *testing.T) {
	values, err := Render(loadFleet(t))
	if err != nil {
		t.Fatal(err)
	}
	inForce, _, findings := Apply(ValueVMs, InForce{}, 5, values[ValueVMs], nil)
	if len(findings) > 0 || inForce.Revision != 5 || len(inForce.Documents.VMs) != 1 {
		t.Fatalf("in force %+v, findings %v", inForce, findings)
	}
	after, _, findings := Apply(ValueVMs, inForce, 6, values[ValueVMs][1:], nil)
	if len(findings) != 1 || findings[0].Reason != ReasonUnreadable || after.Revision != 5 || len(after.Documents.VMs) != 1 {
		t.Errorf("in force %+v, findings %v", after, findings)
	}
	if same, findings := Merge(ValueVMs, inForce, 5, Value{}); len(findings) > 0 || len(same.Documents.VMs) != 1 {
		t.Errorf("another value at the same revision: %+v, findings %v", same, findings)
	}
	emptied, _, _ := Apply(ValueVMs, after, 7, []byte(`{"documents":[]}`), nil)
	if _, _, findings = Apply(ValueVMs, emptied, 8, values[ValueVMs], nil); len(findings) != 1 || findings[0].Reason != ReasonRecreated || !findings[0].IsConflict() {
		t.Errorf("re-creation at the deleted generation: findings %v", findings)
	}
}

// BenchmarkApply decodes and merges one contract value of 72 contracts, of which one changed. That
// is the size for which the system is designed: 37,000 contracts in 512 values.
func BenchmarkApply(b *testing.B) {
	template := loadFleet(b).Contracts[0]
	var docs Documents
	for i := 0; len(docs.Contracts) < 72; i++ {
		template.Customer = fmt.Sprintf("customer-%05d", i)
		if ContractBucket(template.Customer) == 7 {
			docs.Add(&template)
		}
	}
	data, err := encodeValue(docs.All())
	if err != nil {
		b.Fatal(err)
	}
	inForce, _, _ := Apply(ContractValue(7), InForce{}, 1, data, nil)
	docs.Contracts[3].Generation++
	if data, err = encodeValue(docs.All()); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		Apply(ContractValue(7), inForce, 2, data, nil)
	}
}

// Guards against a decoder that panics on malformed input, or accepts a document that does not
// survive being encoded and decoded again.
func FuzzDecodeValue(f *testing.F) {
	values, err := Render(loadFleet(f))
	if err != nil {
		f.Fatal(err)
	}
	for _, name := range []string{ValueOf(Ref{KindContract, "hotel-borg"}), ValueOf(Ref{KindService, "buyer-portal"}), ValueVMs, ValueDataCentres} {
		f.Add(name, values[name])
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		value, err := DecodeValue(name, data, nil)
		if err != nil {
			return
		}
		requireRoundTrip(t, value.Documents)
	})
}

// Guards against a decoder that panics on malformed input, or accepts an index with an unknown
// value name.
func FuzzDecodeIndex(f *testing.F) {
	f.Add([]byte(`{"values":{"vms":{"contentHash":"0123456789abcdef"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		index, err := DecodeIndex(data)
		for name := range index.Values {
			if err != nil || kindOfValue(name) == "" {
				t.Fatalf("index lists %q, error %v", name, err)
			}
		}
	})
}

// drawHistory draws the history of a value. The generations are arbitrary in each revision, as when
// operators forget to raise them; some documents are bad or missing.
func drawHistory(t *rapid.T) []Value {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Value {
		var value Value
		for _, name := range []string{"a", "b"} {
			switch rapid.IntRange(0, 5).Draw(t, name) {
			case 0:
			case 1:
				value.Bad = append(value.Bad, BadDocument{Ref: Ref{KindDataCentre, name}, Problem: "p"})
			default:
				value.Documents.Add(&DataCentre{DataCentre: name, Generation: rapid.Uint64Range(1, 4).Draw(t, "generation"), Region: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "region")})
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "unnamed") == 0 {
			value.Bad = append(value.Bad, BadDocument{Problem: "p"})
		}
		return value
	}), 1, 6).Draw(t, "versions")
}

// Guards against a document that returns to an older generation, or changes without a higher one,
// when revisions arrive out of order or repeatedly. Also guards against a residue that does not
// restore the state in force.
func TestMergeNeverLowersGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		var inForce InForce
		highest := map[Ref]Document{}
		for range rapid.IntRange(1, 12).Draw(t, "arrivals") {
			i := rapid.IntRange(0, len(history)-1).Draw(t, "arrival")
			revision := uint64(i + 1)
			before := inForce
			var findings []Finding
			inForce, findings = Merge(ValueDataCentres, before, revision, history[i])
			if inForce.Revision != max(before.Revision, revision) {
				t.Fatalf("revision %d in force; before it was %d, the value merged has %d", inForce.Revision, before.Revision, revision)
			}
			for _, doc := range inForce.Documents.All() {
				if old := highest[doc.Ref()]; old != nil && (doc.Version() < old.Version() || doc.Version() == old.Version() && !sameContent(doc, old)) {
					t.Fatalf("%v replaced %v", doc, old)
				}
				highest[doc.Ref()] = doc
			}
			if revision <= before.Revision {
				continue
			}
			requireFindings(t, history[i], before, inForce, findings)
			restored := Restore(revision, history[i], inForce.Residue(history[i]))
			if !slices.EqualFunc(restored.Documents.All(), inForce.Documents.All(), sameContent) {
				t.Fatalf("restored %v, in force %v", restored, inForce)
			}
		}
	})
}

// requireFindings fails the test if a document of the value is neither in force nor reported in a
// finding, or if a bad document caused a deletion.
func requireFindings(t *rapid.T, value Value, before, inForce InForce, findings []Finding) {
	isInForce := func(ref Ref) bool {
		return slices.ContainsFunc(inForce.Documents.All(), func(d Document) bool { return d.Ref() == ref })
	}
	for _, doc := range before.Documents.All() {
		bad := slices.ContainsFunc(value.Bad, func(b BadDocument) bool { return b.Ref.Name == "" || b.Ref == doc.Ref() })
		if bad && !isInForce(doc.Ref()) {
			t.Fatalf("%v was deleted because of a bad document", doc)
		}
	}
	reported := map[Ref]bool{}
	for _, f := range findings {
		reported[f.Ref] = true
	}
	for _, bad := range value.Bad {
		if !reported[bad.Ref] {
			t.Fatalf("no finding for the bad document %v", bad)
		}
	}
	for _, doc := range value.Documents.All() {
		applied := slices.ContainsFunc(inForce.Documents.All(), func(d Document) bool { return d.Ref() == doc.Ref() && sameContent(d, doc) })
		if applied == reported[doc.Ref()] {
			t.Fatalf("%v: in force is %v, reported is %v; want exactly one", doc, applied, reported[doc.Ref()])
		}
	}
}

// Guards against a merge rule that refuses a document although its generation increases. With
// increasing generations, each order of arrival that ends with the newest revision must give that
// revision's content.
func TestMergeAppliesIncreasingGenerations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Value
		for i := range rapid.IntRange(1, 6).Draw(t, "revisions") {
			var value Value
			if rapid.Bool().Draw(t, "present") {
				value.Documents.Add(&DataCentre{DataCentre: "a", Generation: uint64(i + 1), Region: "r"})
			}
			history = append(history, value)
		}
		var inForce InForce
		arrivals := append(rapid.SliceOf(rapid.IntRange(0, len(history)-1)).Draw(t, "arrivals"), len(history)-1)
		for _, i := range arrivals {
			inForce, _ = Merge(ValueDataCentres, inForce, uint64(i+1), history[i])
		}
		want := history[len(history)-1].Documents.All()
		if !slices.EqualFunc(inForce.Documents.All(), want, sameContent) {
			t.Fatalf("in force %v, want %v", inForce.Documents, want)
		}
	})
}
