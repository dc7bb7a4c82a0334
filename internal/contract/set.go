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

// Set is the documents of several files with their places, for checks across documents.
type Set struct {
	// Detector checks the detector overrides of services. It may be nil.
	Detector DetectorCheck

	docs   []located
	issues strictyaml.Issues
}

type located struct {
	Document
	source *strictyaml.Document
}

// ParseFile parses and checks one YAML file on its own, without references to other files.
func ParseFile(file string, data []byte) (Documents, strictyaml.Issues) {
	var set Set
	set.Add(file, data)
	return set.Documents(), set.issues.Sort()
}

// Add parses the documents of one YAML file and checks each of them.
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
	faulty := map[string]bool{}
	for _, issue := range issues {
		faulty[issue.Path] = true
	}
	doc.check(&checker{
		report: func(path, format string, args ...any) {
			// A field of the wrong type is reported once, not again for its zero value.
			if !faulty[path] {
				issues = append(issues, source.Issue(path, format, args...))
			}
		},
		has:      source.Has,
		detector: s.Detector,
	})
	s.issues = append(s.issues, issues...)
	s.docs = append(s.docs, located{doc, source})
}

// AddPaths adds files, and all files named *.yaml or *.yml below directories. Names that begin with a dot are left out.
func (s *Set) AddPaths(paths ...string) {
	for _, path := range paths {
		files, err := yamlFiles(path)
		if err != nil {
			s.fileIssue(path, err)
			continue
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				s.fileIssue(file, err)
				continue
			}
			s.Add(file, data)
		}
	}
}

func (s *Set) fileIssue(file string, err error) {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		err = pathError.Err
	}
	s.issues = append(s.issues, strictyaml.Issue{File: file, Message: "cannot be read: " + err.Error()})
}

func yamlFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	var files []string
	// The separator at the end lets a symbolic link to a directory be read.
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

// Documents returns the documents in the order of the files.
func (s *Set) Documents() Documents {
	var out Documents
	for _, doc := range s.docs {
		out.Add(doc.Document)
	}
	return out
}

// Check returns all faults of the files and all faults between documents, ordered by file and line.
func (s *Set) Check() strictyaml.Issues {
	issues := slices.Concat(s.issues, s.crossCheck())
	return issues.Sort()
}
