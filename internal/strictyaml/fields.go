package strictyaml

import (
	"reflect"
	"strings"
)

// FieldPaths returns the paths of all fields of a struct that hold a value, by their yaml tags. Items of lists are shown
// as "[0]". Tests use it to hold documentation and examples complete.
func FieldPaths(structType reflect.Type) []string { return fieldPaths(structType, "") }

func fieldPaths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		path, inner := prefix+name, field.Type
		if inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct {
			path, inner = path+"[0]", inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, fieldPaths(inner, path+".")...)
			continue
		}
		out = append(out, path)
	}
	return out
}
