package strictyaml

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Decode fills out, a pointer to a struct, and returns every fault. Fields are matched by their yaml tag. A faulty field
// keeps the value it had. Decode can be called once: it drops the YAML nodes, which need many times the memory of the text.
func (d *Document) Decode(out any) Issues {
	w := walker{doc: d}
	w.decode(d.root, reflect.ValueOf(out).Elem(), "")
	d.root = nil
	return w.issues
}

type walker struct {
	doc    *Document
	issues Issues
}

func (w *walker) report(n *yaml.Node, path, format string, args ...any) {
	w.issues = append(w.issues, Issue{File: w.doc.File, Line: w.doc.lineOf(n), Path: path, Message: fmt.Sprintf(format, args...)})
}

func (w *walker) decode(n *yaml.Node, v reflect.Value, path string) {
	if _, seen := w.doc.lines[path]; !seen {
		w.doc.lines[path] = w.doc.lineOf(n)
	}
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		// Aliases let a short file grow without bound, and hide the line that a fault belongs to.
		w.report(n, path, "anchors and aliases are not supported")
	case isNull(n):
		w.report(n, path, "must not be empty")
	case v.Kind() == reflect.Pointer:
		target := reflect.New(v.Type().Elem())
		before := len(w.issues)
		w.decode(n, target.Elem(), path)
		if len(w.issues) == before {
			v.Set(target)
		}
	default:
		w.decodeValue(n, v, path)
	}
}

func (w *walker) decodeValue(n *yaml.Node, v reflect.Value, path string) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if n.Kind != yaml.ScalarNode {
			w.report(n, path, "must be a single value, is %s", describe(n))
		} else if err := text.UnmarshalText([]byte(n.Value)); err != nil {
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
	fields := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	w.eachPair(n, path, func(key, value *yaml.Node, at string) {
		if i, known := fields[key.Value]; known {
			w.doc.lines[at] = w.doc.lineOf(key)
			w.decode(value, v.Field(i), at)
		} else {
			w.report(key, at, "unknown field")
		}
	})
}

func (w *walker) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	out := reflect.MakeMap(v.Type())
	w.eachPair(n, path, func(key, value *yaml.Node, at string) {
		w.doc.lines[at] = w.doc.lineOf(key)
		item := reflect.New(v.Type().Elem()).Elem()
		w.decode(value, item, at)
		out.SetMapIndex(reflect.ValueOf(key.Value), item)
	})
	v.Set(out)
}

// eachPair calls visit for each field of a mapping and reports repeated fields.
func (w *walker) eachPair(n *yaml.Node, path string, visit func(key, value *yaml.Node, at string)) {
	if n.Kind != yaml.MappingNode {
		w.report(n, path, "must be a mapping of fields, is %s", describe(n))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := key.Value
		if path != "" {
			at = path + "." + key.Value
		}
		switch {
		case key.Kind != yaml.ScalarNode || key.ShortTag() == "!!merge":
			w.report(key, path, "field names must be plain text")
		case seen[key.Value]:
			w.report(key, at, "field given twice")
		default:
			seen[key.Value] = true
			visit(key, value, at)
		}
	}
}

func (w *walker) decodeSlice(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		w.report(n, path, "must be a list, is %s", describe(n))
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
		// Unquoted digits would lose leading zeros and exponents, so text that YAML reads as a number must be quoted.
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
		w.report(n, path, "must be %s, is %s", want, describe(n))
		return
	}
	item := reflect.New(v.Type())
	if err := n.Decode(item.Interface()); err != nil {
		w.report(n, path, "must be %s in the range of its type, is %s", want, describe(n))
		return
	}
	if v.Kind() == reflect.Float64 && (math.IsNaN(item.Elem().Float()) || math.IsInf(item.Elem().Float(), 0)) {
		w.report(n, path, "must be a finite number")
		return
	}
	v.Set(item.Elem())
}

func describe(n *yaml.Node) string {
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
