package strictyaml

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decode decodes the document into out, a pointer to a struct, and returns every issue. Fields are
// matched by their yaml tag. A field with an issue keeps the value it had. Decode panics if a field
// has a type that it does not support. It can be called only once, because it releases the YAML
// nodes, which take many times the memory of the text.
func (d *Document) Decode(out any) Issues {
	w := walker{doc: d}
	w.decode(d.root, reflect.ValueOf(out).Elem(), "")
	d.root = nil
	return w.issues
}

// walker decodes a tree of YAML nodes into a Go value and collects the issues.
type walker struct {
	doc    *Document
	issues Issues
}

func (w *walker) report(n *yaml.Node, path, format string, args ...any) {
	w.issues = append(w.issues, Issue{File: w.doc.File, Line: w.doc.nodeLine(n), Path: path, Message: fmt.Sprintf(format, args...)})
}

// decode decodes a node and records its line. Struct fields keep the line of their name, which is
// recorded before.
func (w *walker) decode(n *yaml.Node, v reflect.Value, path string) {
	if _, seen := w.doc.fieldLines[path]; !seen {
		w.doc.fieldLines[path] = w.doc.nodeLine(n)
	}
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		// With aliases a short file can expand without limit, and an issue cannot be attributed to
		// one line.
		w.report(n, path, "anchors and aliases are not supported")
	case isNull(n):
		w.report(n, path, "must not be empty")
	case v.Kind() == reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		issuesBefore := len(w.issues)
		w.decode(n, target.Elem(), path)
		if len(w.issues) == issuesBefore {
			v.Set(target)
		}
	default:
		w.decodeValue(n, v, path)
	}
}

func (w *walker) decodeValue(n *yaml.Node, v reflect.Value, path string) {
	if unmarshaler, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if n.Kind != yaml.ScalarNode {
			w.report(n, path, "must be a single value, is %s", describeNode(n))
		} else if err := unmarshaler.UnmarshalText([]byte(n.Value)); err != nil {
			w.report(n, path, "%v", err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.decodeStruct(n, v, path)
	case reflect.Slice:
		w.decodeSlice(n, v, path)
	case reflect.Map:
		w.decodeMap(n, v, path)
	default:
		w.decodeScalar(n, v, path)
	}
}

func (w *walker) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	fieldIndexes := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		fieldIndexes[name] = i
	}
	w.eachField(n, path, func(key, value *yaml.Node, fieldPath string) {
		if i, known := fieldIndexes[key.Value]; known {
			w.doc.fieldLines[fieldPath] = w.doc.nodeLine(key)
			w.decode(value, v.Field(i), fieldPath)
		} else {
			w.report(key, fieldPath, "unknown field")
		}
	})
}

func (w *walker) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	out := reflect.MakeMap(v.Type())
	w.eachField(n, path, func(key, value *yaml.Node, fieldPath string) {
		w.doc.fieldLines[fieldPath] = w.doc.nodeLine(key)
		item := reflect.New(v.Type().Elem()).Elem()
		w.decode(value, item, fieldPath)
		out.SetMapIndex(reflect.ValueOf(key.Value), item)
	})
	v.Set(out)
}

// eachField calls visit for each field of a mapping. Repeated fields and merge keys are reported
// instead.
func (w *walker) eachField(n *yaml.Node, path string, visit func(key, value *yaml.Node, fieldPath string)) {
	if n.Kind != yaml.MappingNode {
		w.report(n, path, "must be a mapping of fields, is %s", describeNode(n))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := key.Value
		if path != "" {
			fieldPath = path + "." + key.Value
		}
		switch {
		case key.Kind != yaml.ScalarNode || key.ShortTag() == "!!merge":
			w.report(key, path, "field names must be plain text")
		case seen[key.Value]:
			w.report(key, fieldPath, "field given twice")
		default:
			seen[key.Value] = true
			visit(key, value, fieldPath)
		}
	}
}

func (w *walker) decodeSlice(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		w.report(n, path, "must be a list, is %s", describeNode(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		w.decode(item, out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(out)
}

func (w *walker) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	tag := n.ShortTag()
	want, ok := "", false
	switch v.Kind() {
	case reflect.String:
		// YAML reads unquoted digits as a number, which would lose leading zeros and exponents, so
		// such text must be quoted.
		want, ok = "text (quote it)", tag == "!!str"
	case reflect.Bool:
		want, ok = "true or false", tag == "!!bool"
	case reflect.Float64:
		want, ok = "a number", tag == "!!int" || tag == "!!float"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		want, ok = "a whole number", tag == "!!int"
	default:
		panic(fmt.Sprintf("strictyaml: field %s has the unsupported type %s", path, v.Type()))
	}
	if n.Kind != yaml.ScalarNode || !ok {
		w.report(n, path, "must be %s, is %s", want, describeNode(n))
		return
	}
	item := reflect.New(v.Type())
	if err := n.Decode(item.Interface()); err != nil {
		w.report(n, path, "must be %s in the range of its type, is %s", want, describeNode(n))
		return
	}
	if v.Kind() == reflect.Float64 && (math.IsNaN(item.Elem().Float()) || math.IsInf(item.Elem().Float(), 0)) {
		w.report(n, path, "must be a finite number")
		return
	}
	v.Set(item.Elem())
}

// describeNode describes a node for messages: its kind, or its text cut to 40 bytes.
func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		if len(n.Value) > 40 {
			return fmt.Sprintf("%q...", n.Value[:40])
		}
		return fmt.Sprintf("%q", n.Value)
	}
}
