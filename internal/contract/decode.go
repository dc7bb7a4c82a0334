package contract

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"
)

// Value is a decoded value of the platform's configuration service, other than the index.
type Value struct {
	// Documents are the valid documents.
	Documents Documents
	// Bad are the documents that cannot be used, in the order of the value.
	Bad []BadDocument
}

// BadDocument is a document of a value that cannot be used.
type BadDocument struct {
	// Ref identifies the document. Fields that could not be read are empty.
	Ref Ref `json:"ref"`
	// Position is the document's index in the value, counted from 0. It is -1 for a deletion or a
	// claim of a residue.
	Position int `json:"position"`
	// Problem describes the faults of the document. Several are separated by "; ".
	Problem string `json:"problem"`
}

// DecodeValue decodes and checks a value other than the index. A document is bad if it has unknown
// or repeated fields, fails a check of its fields, occurs twice or belongs to another value. Bad
// documents do not affect the others. The error is non-nil only if the value as a whole cannot be
// read: it is too large, has an unknown name or is not a JSON object with a list of documents.
// checkDetector may be nil.
func DecodeValue(valueName string, data []byte, checkDetector DetectorCheck) (Value, error) {
	if len(data) > MaxValueBytes {
		return Value{}, tooLargeError(valueName, len(data))
	}
	if kindOfValue(valueName) == "" {
		return Value{}, eris.Errorf("value %s: unknown value name", valueName)
	}
	var raw valueJSON[jsontext.Value]
	// Repeated fields are refused below for each document, so that they do not invalidate the
	// others.
	if err := json.Unmarshal(data, &raw, json.RejectUnknownMembers(true), jsontext.AllowDuplicateNames(true)); err != nil {
		return Value{}, eris.Wrapf(err, "value %s", valueName)
	}
	if raw.Documents == nil {
		return Value{}, eris.Errorf("value %s: the field \"documents\" is missing", valueName)
	}
	return decodeDocuments(valueName, raw.Documents, checkDetector), nil
}

// decodeDocuments decodes and checks the JSON texts of the documents of a value or residue.
func decodeDocuments(valueName string, texts []jsontext.Value, checkDetector DetectorCheck) Value {
	decoder := valueDecoder{valueName: valueName, checkDetector: checkDetector, positions: map[Ref][]int{}, valid: make([]Document, len(texts))}
	for i, text := range texts {
		decoder.add(i, text)
	}
	return decoder.finish()
}

// valueDecoder decodes the documents of one value or residue.
type valueDecoder struct {
	valueName     string
	checkDetector DetectorCheck
	positions     map[Ref][]int // of each document name, including bad documents
	valid         []Document    // by position; nil for a bad document
	bad           []BadDocument
}

func (d *valueDecoder) add(position int, text jsontext.Value) {
	doc := newDocument(kindOfValue(d.valueName))
	var ref Ref
	var problem string
	if err := json.Unmarshal(text, doc, json.RejectUnknownMembers(true)); err != nil {
		ref, problem = peekRef(text), err.Error()
	} else {
		ref, problem = doc.Ref(), d.check(doc)
	}
	if ref.Name != "" {
		d.positions[ref] = append(d.positions[ref], position)
	}
	if problem != "" {
		d.bad = append(d.bad, BadDocument{ref, position, problem})
		return
	}
	d.valid[position] = doc
}

// check returns the faults of a decoded document as one string, or an empty string.
func (d *valueDecoder) check(doc Document) string {
	var problems []string
	doc.check(&checker{
		report: func(path, format string, args ...any) {
			problems = append(problems, path+": "+fmt.Sprintf(format, args...))
		},
		has:           func(string) bool { return false },
		checkDetector: d.checkDetector,
	})
	if expected := ValueOf(doc.Ref()); len(problems) == 0 && expected != d.valueName {
		problems = append(problems, fmt.Sprintf("belongs to the value %s", expected))
	}
	return strings.Join(problems, "; ")
}

// finish returns the result. All copies of a document that occurs more than once are bad, because
// it is unknown which of them is meant.
func (d *valueDecoder) finish() Value {
	var out Value
	for i, doc := range d.valid {
		if doc == nil {
			continue
		}
		if positions := d.positions[doc.Ref()]; len(positions) > 1 {
			d.bad = append(d.bad, BadDocument{doc.Ref(), i, fmt.Sprintf("the value holds %s %d times, at positions %v", doc.Ref(), len(positions), positions)})
			continue
		}
		out.Documents.Add(doc)
	}
	slices.SortStableFunc(d.bad, func(a, b BadDocument) int { return a.Position - b.Position })
	out.Bad = d.bad
	return out
}

// peekRef reads the kind and the name of a document that could not be decoded, as far as possible.
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
