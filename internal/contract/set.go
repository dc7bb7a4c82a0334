package contract

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// Set holds the documents of several files with their positions, for checks across documents. It is
// not safe for concurrent use.
type Set struct {
	// CheckDetector checks the detector overrides of services. If it is nil, only the form of their
	// names is checked. It must be set before the first document is added.
	CheckDetector DetectorCheck

	docs   []parsedDocument
	issues strictyaml.Issues
}

// parsedDocument is a document with its position in a file.
type parsedDocument struct {
	Document
	source *strictyaml.Document
}

// ParseFile parses and checks one YAML file on its own. References between documents, uniqueness
// across documents and the values of detector overrides are not checked.
func ParseFile(file string, data []byte) (Documents, strictyaml.Issues) {
	var set Set
	set.Add(file, data)
	return set.Documents(), set.issues.Sort()
}

// Add parses the documents of one YAML file and checks each of them. Check returns the issues
// found.
func (s *Set) Add(file string, data []byte) {
	sources, issues := strictyaml.Split(file, data)
	s.issues = append(s.issues, issues...)
	for _, source := range sources {
		s.addDocument(source)
	}
}

func (s *Set) addDocument(source *strictyaml.Document) {
	version, line := source.Text("apiVersion")
	if version != APIVersion {
		s.issues = append(s.issues, strictyaml.Issue{File: source.File, Line: line, Path: "apiVersion", Message: fmt.Sprintf("must be %q, is %q", APIVersion, version)})
		return
	}
	kind, line := source.Text("kind")
	doc := newDocument(kind)
	if doc == nil {
		s.issues = append(s.issues, strictyaml.Issue{File: source.File, Line: line, Path: "kind",
			Message: fmt.Sprintf("must be one of %s, %s, %s, %s, is %q", KindContract, KindService, KindVM, KindDataCentre, kind)})
		return
	}
	issues := source.Decode(doc)
	hasIssue := map[string]bool{}
	for _, issue := range issues {
		hasIssue[issue.Path] = true
	}
	doc.check(&checker{
		report: func(path, format string, args ...any) {
			// A field that failed to decode still has its zero value. Checking it too would report
			// the same mistake twice.
			if !hasIssue[path] {
				issues = append(issues, source.Issue(path, format, args...))
			}
		},
		has:           source.Has,
		checkDetector: s.CheckDetector,
	})
	s.issues = append(s.issues, issues...)
	s.docs = append(s.docs, parsedDocument{doc, source})
}

// AddPaths adds files, and all files named *.yaml or *.yml in and below directories. Below a
// directory, files and directories whose names begin with a dot are skipped. A file that cannot be
// read becomes an issue.
func (s *Set) AddPaths(paths ...string) {
	for _, path := range paths {
		files, err := yamlFiles(path)
		if err != nil {
			s.addFileIssue(path, err)
			continue
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				s.addFileIssue(file, err)
				continue
			}
			s.Add(file, data)
		}
	}
}

// addFileIssue reports a file that cannot be read. The path is left out of the message, because the
// issue names the file.
func (s *Set) addFileIssue(file string, err error) {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	s.issues = append(s.issues, strictyaml.Issue{File: file, Message: "cannot be read: " + err.Error()})
}

// yamlFiles returns path itself, or the YAML files below it when it is a directory.
func yamlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	var files []string
	// WalkDir follows a symbolic link at the root only when the path ends with a separator.
	root := strings.TrimSuffix(path, string(filepath.Separator)) + string(filepath.Separator)
	err = filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case name != root && strings.HasPrefix(entry.Name(), "."):
			if entry.IsDir() {
				return fs.SkipDir
			}
		case !entry.IsDir() && slices.Contains([]string{".yaml", ".yml"}, filepath.Ext(name)):
			files = append(files, name)
		}
		return nil
	})
	return files, err
}

// Documents returns the documents in the order in which they were added. Documents with issues are
// included, unless their kind or API version is unknown.
func (s *Set) Documents() Documents {
	var out Documents
	for _, doc := range s.docs {
		out.Add(doc.Document)
	}
	return out
}

// Check returns all issues of single documents and all issues between documents, ordered by file
// and line. Issues between documents are undefined references and duplicates.
func (s *Set) Check() strictyaml.Issues {
	issues := slices.Concat(s.issues, s.crossCheck())
	return issues.Sort()
}
