// Package strictyaml decodes YAML into Go structs and reports every issue of a file with its line
// and field path. Unlike the decoder of the YAML library, it does not stop at the first issue,
// refuses duplicate and unknown fields, and records the line of each field for checks after
// decoding.
package strictyaml
