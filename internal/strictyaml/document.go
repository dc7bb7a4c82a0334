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

// Document is one YAML document of a file.
type Document struct {
	// File is the name of the file.
	File string
	// Line is the line on which the content of the document starts.
	Line int

	root   *yaml.Node
	offset int
	lines  map[string]int
}

// Split parses a file into its documents. A syntax error spoils only the document that holds it.
func Split(file string, data []byte) ([]*Document, Issues) {
	var docs []*Document
	var issues Issues
	for _, c := range chunks(data) {
		dec := yaml.NewDecoder(bytes.NewReader(c.data))
		for {
			var node yaml.Node
			err := decodeNode(dec, &node)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				issues = append(issues, syntaxIssue(file, c.offset, err))
				break
			}
			if len(node.Content) == 0 || isNull(node.Content[0]) {
				continue
			}
			root := node.Content[0]
			docs = append(docs, &Document{File: file, Line: root.Line + c.offset, root: root, offset: c.offset, lines: map[string]int{}})
		}
	}
	return docs, issues
}

// decodeNode turns a panic of the YAML library on malformed input into an error.
func decodeNode(dec *yaml.Decoder, node *yaml.Node) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("yaml: %v", r)
		}
	}()
	return dec.Decode(node)
}

type chunk struct {
	data   []byte
	offset int // lines before the chunk
}

// chunks cuts a file before each "---" line. YAML allows such a line only as a document marker, even in block scalars.
func chunks(data []byte) []chunk {
	var out []chunk
	start, startLine, line := 0, 0, 0
	for pos := 0; pos < len(data); line++ {
		end := len(data)
		if i := bytes.IndexByte(data[pos:], '\n'); i >= 0 {
			end = pos + i + 1
		}
		if isMarker(data[pos:end]) && pos > start {
			out = append(out, chunk{data[start:pos], startLine})
			start, startLine = pos, line
		}
		pos = end
	}
	return append(out, chunk{data[start:], startLine})
}

func isMarker(line []byte) bool {
	rest, found := bytes.CutPrefix(line, []byte("---"))
	return found && (len(rest) == 0 || strings.ContainsRune(" \t\r\n", rune(rest[0])))
}

var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

func syntaxIssue(file string, offset int, err error) Issue {
	text, line := err.Error(), 0
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	return Issue{File: file, Line: max(1, line) + offset, Message: "not valid YAML: " + strings.TrimPrefix(text, "yaml: ")}
}

// Text returns the value of a top-level field as written, and its line. It returns an empty text when the field is
// missing or no scalar. It must be called before Decode.
func (d *Document) Text(field string) (string, int) {
	if d.root.Kind != yaml.MappingNode {
		return "", d.Line
	}
	for i := 0; i+1 < len(d.root.Content); i += 2 {
		if key, value := d.root.Content[i], d.root.Content[i+1]; key.Value == field {
			if value.Kind != yaml.ScalarNode || isNull(value) {
				return "", d.lineOf(value)
			}
			return value.Value, d.lineOf(value)
		}
	}
	return "", d.Line
}

// Has reports whether Decode met the field with the path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// LineOf returns the line of the field with the path, or of the nearest field around it.
func (d *Document) LineOf(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.Line
}

// Issue returns an issue at the field with the path.
func (d *Document) Issue(path, format string, args ...any) Issue {
	return Issue{File: d.File, Line: d.LineOf(path), Path: path, Message: fmt.Sprintf(format, args...)}
}

func (d *Document) lineOf(n *yaml.Node) int { return n.Line + d.offset }

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" }
