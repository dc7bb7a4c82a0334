package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document is one YAML document of a file. It is not safe for concurrent use.
type Document struct {
	// File is the name of the file as passed to Split.
	File string
	// Line is the line of the file on which the content of the document starts, counted from 1.
	Line int

	root       *yaml.Node     // nil after Decode
	lineOffset int            // added to the line of a node to get the line of the file
	fieldLines map[string]int // lines of the fields that Decode met, by path
}

// Split parses a file into its documents. Empty documents are left out. A syntax error is returned
// as an issue and affects only the document that contains it.
func Split(file string, data []byte) ([]*Document, Issues) {
	var docs []*Document
	var issues Issues
	for _, c := range splitAtMarkers(data) {
		dec := yaml.NewDecoder(bytes.NewReader(c.data))
		for {
			var node yaml.Node
			err := decodeNode(dec, &node)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				issues = append(issues, syntaxIssue(file, c.lineOffset, err))
				break
			}
			if len(node.Content) == 0 || isNull(node.Content[0]) {
				continue
			}
			root := node.Content[0]
			docs = append(docs, &Document{File: file, Line: root.Line + c.lineOffset, root: root, lineOffset: c.lineOffset, fieldLines: map[string]int{}})
		}
	}
	return docs, issues
}

// decodeNode parses the next document. The YAML library panics on some malformed input; decodeNode
// returns that as an error.
func decodeNode(dec *yaml.Decoder, node *yaml.Node) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("yaml: %v", r)
		}
	}()
	return dec.Decode(node)
}

// chunk is a part of a file that starts at a document marker or at the beginning.
type chunk struct {
	data       []byte
	lineOffset int // number of lines before the chunk
}

// splitAtMarkers cuts a file before each "---" line. YAML allows such a line only as a document
// marker, even in block scalars.
func splitAtMarkers(data []byte) []chunk {
	var out []chunk
	start, startLine, line := 0, 0, 0
	for pos := 0; pos < len(data); line++ {
		end := len(data)
		if i := bytes.IndexByte(data[pos:], '\n'); i >= 0 {
			end = pos + i + 1
		}
		if isDocumentMarker(data[pos:end]) && pos > start {
			out = append(out, chunk{data[start:pos], startLine})
			start, startLine = pos, line
		}
		pos = end
	}
	return append(out, chunk{data[start:], startLine})
}

// isDocumentMarker reports whether a line starts a document: "---", alone or followed by a space.
func isDocumentMarker(line []byte) bool {
	rest, found := bytes.CutPrefix(line, []byte("---"))
	return found && (len(rest) == 0 || strings.ContainsRune(" \t\r\n", rune(rest[0])))
}

// yamlErrorLine matches the beginning of an error message of the YAML library that names a line.
var yamlErrorLine = regexp.MustCompile(`^yaml: line (\d+): `)

// syntaxIssue turns an error of the YAML library into an issue with the line of the file.
func syntaxIssue(file string, lineOffset int, err error) Issue {
	text, line := err.Error(), 0
	if m := yamlErrorLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	return Issue{File: file, Line: max(1, line) + lineOffset, Message: "not valid YAML: " + strings.TrimPrefix(text, "yaml: ")}
}

// Text returns the value of a top-level field as written, and its line. If the field is missing or
// not a scalar, the value is an empty string. Text must be called before Decode.
func (d *Document) Text(field string) (string, int) {
	if d.root.Kind != yaml.MappingNode {
		return "", d.Line
	}
	for i := 0; i+1 < len(d.root.Content); i += 2 {
		if key, value := d.root.Content[i], d.root.Content[i+1]; key.Value == field {
			if value.Kind != yaml.ScalarNode || isNull(value) {
				return "", d.nodeLine(value)
			}
			return value.Value, d.nodeLine(value)
		}
	}
	return "", d.Line
}

// Has reports whether the document contains the field with the path. Unknown fields are not
// recorded. It must be called after Decode.
func (d *Document) Has(path string) bool {
	_, ok := d.fieldLines[path]
	return ok
}

// LineOf returns the line of the field with the path, or that of the nearest enclosing field. It
// must be called after Decode.
func (d *Document) LineOf(path string) int {
	for path != "" {
		if line, ok := d.fieldLines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.Line
}

// Issue returns an issue at the field with the path, with a formatted message.
func (d *Document) Issue(path, format string, args ...any) Issue {
	return Issue{File: d.File, Line: d.LineOf(path), Path: path, Message: fmt.Sprintf(format, args...)}
}

// nodeLine returns the line of a node in the file.
func (d *Document) nodeLine(n *yaml.Node) int { return n.Line + d.lineOffset }

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" }
