package contract

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Value is a decoded value.
type Value struct {
	// Documents are the good ones.
	Documents Documents
	// Bad are the ones that cannot be used.
	Bad []BadDocument
}

// BadDocument is a document of a value that cannot be used.
type BadDocument struct {
	// Ref names the document as far as it could be read. Fields that could not be read are empty.
	Ref Ref `json:"ref"`
	// Position counts the documents of the value from 0.
	Position int `json:"position"`
	// Problem lists all faults.
	Problem string `json:"problem"`
}

// DecodeValue reads a value other than the index. Unknown fields, repeated fields, documents that fail the checks of
// `cowslipctl check` and documents that belong to another value are bad; they do not block the others. The error is set
// only when the value as a whole cannot be read. The detector check may be nil.
func DecodeValue(name string, data []byte, detector DetectorCheck) (Value, error) {
	if len(data) > MaxValueBytes {
		return Value{}, tooLarge(name, len(data))
	}
	if kindOf(name) == "" {
		return Value{}, eris.Errorf("value %s: unknown name", name)
	}
	var raw valueJSON[jsontext.Value]
	// Repeated fields are refused below, for each document on its own.
	if err := json.Unmarshal(data, &raw, json.RejectUnknownMembers(true), jsontext.AllowDuplicateNames(true)); err != nil {
		return Value{}, eris.Wrapf(err, "value %s", name)
	}
	if raw.Documents == nil {
		return Value{}, eris.Errorf("value %s: the field \"documents\" is missing", name)
	}
	return decodeDocuments(name, raw.Documents, detector), nil
}

func decodeDocuments(name string, texts []jsontext.Value, detector DetectorCheck) Value {
	d := valueDecoder{name: name, detector: detector, places: map[Ref][]int{}, good: make([]Document, len(texts))}
	for i, text := range texts {
		d.add(i, text)
	}
	return d.finish()
}

type valueDecoder struct {
	name     string
	detector DetectorCheck
	places   map[Ref][]int
	good     []Document
	bad      []BadDocument
}

func (d *valueDecoder) add(position int, text jsontext.Value) {
	doc := newDocument(kindOf(d.name))
	var ref Ref
	var problem string
	if err := json.Unmarshal(text, doc, json.RejectUnknownMembers(true)); err != nil {
		ref, problem = peekRef(text), err.Error()
	} else {
		ref, problem = doc.Ref(), d.check(doc)
	}
	if ref.Name != "" {
		d.places[ref] = append(d.places[ref], position)
	}
	if problem != "" {
		d.bad = append(d.bad, BadDocument{ref, position, problem})
		return
	}
	d.good[position] = doc
}

func (d *valueDecoder) check(doc Document) string {
	var problems []string
	doc.check(&checker{
		report: func(path, format string, args ...any) {
			problems = append(problems, path+": "+fmt.Sprintf(format, args...))
		},
		has:      func(string) bool { return false },
		detector: d.detector,
	})
	if place := ValueOf(doc.Ref()); len(problems) == 0 && place != d.name {
		problems = append(problems, fmt.Sprintf("belongs to the value %s", place))
	}
	return strings.Join(problems, "; ")
}

// finish refuses all documents that are in the value more than once, because which of them is meant is unknown.
func (d *valueDecoder) finish() Value {
	var out Value
	for i, doc := range d.good {
		if doc == nil {
			continue
		}
		if places := d.places[doc.Ref()]; len(places) > 1 {
			d.bad = append(d.bad, BadDocument{doc.Ref(), i, fmt.Sprintf("the value holds %s %d times, at positions %v", doc.Ref(), len(places), places)})
			continue
		}
		out.Documents.Add(doc)
	}
	slices.SortStableFunc(d.bad, func(a, b BadDocument) int { return a.Position - b.Position })
	out.Bad = d.bad
	return out
}

// peekRef reads the kind and the name of a document that is faulty elsewhere.
func peekRef(text jsontext.Value) Ref {
	var fields map[string]jsontext.Value
	if json.Unmarshal(text, &fields) != nil {
		return Ref{}
	}
	read := func(field string) string {
		var s string
		if json.Unmarshal(fields[field], &s) != nil {
			return ""
		}
		return s
	}
	ref := Ref{Kind: read("kind")}
	if newDocument(ref.Kind) != nil {
		ref.Name = read(nameField(ref.Kind))
	}
	return ref
}
