package strictyaml

import (
	"reflect"
	"strings"
)

// FieldPaths returns the paths of all fields of a struct type by their yaml tags, in the order of
// declaration. Nested structs are replaced by their fields, and lists of structs by the fields of
// item "[0]". Tests use it to check that documentation and examples are complete.
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
