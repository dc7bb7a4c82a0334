// Package strictyaml decodes YAML into Go structs and reports every fault of a file with line and field path. Unlike the
// decoder of the YAML library it does not stop at the first fault, refuses duplicate and unknown fields, and remembers the
// line of each field for checks that run after decoding.
package strictyaml
