package contract

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-json-experiment/json"
)

// The values of Change.Type.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is the difference between two versions of a document.
type Change struct {
	// Type is Added, Removed or Changed.
	Type string `json:"type"`
	Ref  Ref    `json:"ref"`
	// OldGeneration is zero for an added document, NewGeneration for a removed one.
	OldGeneration uint64 `json:"oldGeneration,omitzero"`
	NewGeneration uint64 `json:"newGeneration,omitzero"`
	// Fields lists the fields that differ in a changed document, except the generation, by path.
	Fields []FieldChange `json:"fields,omitempty"`
	// Problem says why daemons would refuse the new version. It is empty if they would accept it.
	Problem string `json:"problem,omitempty"`
}

// FieldChange is a changed field with its old and new value as JSON. A missing value is empty.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the changes from before to after, ordered by kind and name. Documents are matched by
// kind and name, routes by path prefix and backend servers by ID, so
// the order of these items, and of API keys, does not matter.
func Diff(before, after Documents) []Change {
	changes := []Change{}
	afterByRef := map[Ref]Document{}
	for _, doc := range after.All() {
		afterByRef[doc.Ref()] = doc
	}
	for _, doc := range before.All() {
		ref := doc.Ref()
		newDoc := afterByRef[ref]
		delete(afterByRef, ref)
		if newDoc == nil {
			changes = append(changes, Change{Type: Removed, Ref: ref, OldGeneration: doc.Version()})
		} else if change, differs := diffDocument(doc, newDoc); differs {
			changes = append(changes, change)
		}
	}
	for ref, doc := range afterByRef {
		changes = append(changes, Change{Type: Added, Ref: ref, NewGeneration: doc.Version()})
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareRefs(a.Ref, b.Ref) })
	return changes
}

// diffDocument returns the change between two versions, and whether they differ at all.
func diffDocument(before, after Document) (Change, bool) {
	change := Change{Type: Changed, Ref: before.Ref(), OldGeneration: before.Version(), NewGeneration: after.Version()}
	oldFields, newFields := flatten(before), flatten(after)
	paths := map[string]bool{}
	for path := range oldFields {
		paths[path] = true
	}
	for path := range newFields {
		paths[path] = true
	}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldFields[path] != newFields[path] && path != "generation" {
			change.Fields = append(change.Fields, FieldChange{path, oldFields[path], newFields[path]})
		}
	}
	switch {
	case after.Version() < before.Version():
		change.Problem = fmt.Sprintf("the generation must not fall; use at least %d", before.Version()+1)
	case after.Version() == before.Version() && len(change.Fields) > 0:
		change.Problem = fmt.Sprintf("the generation must grow with a change; use at least %d", before.Version()+1)
	}
	return change, len(change.Fields) > 0 || after.Version() != before.Version()
}

// flatten returns the fields of a document as JSON texts, by path.
func flatten(doc Document) map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(doc)
	if err != nil {
		return out
	}
	var tree any
	if json.Unmarshal(data, &tree) == nil {
		flattenInto(out, "", tree)
	}
	return out
}

func flattenInto(out map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, item := range value {
			if path != "" {
				name = path + "." + name
			}
			flattenInto(out, name, item)
		}
	case []any:
		for i, item := range value {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, itemKey(item, i)), item)
		}
	default:
		text, err := json.Marshal(value)
		if err == nil {
			out[path] = string(text)
		}
	}
}

// itemKey returns what identifies an item of a list: its path prefix, ID or text, otherwise its
// position. With positions alone, an inserted item would make all later items look changed.
func itemKey(item any, position int) string {
	switch item := item.(type) {
	case string:
		return item
	case map[string]any:
		for _, field := range []string{"pathPrefix", "id"} {
			if text, ok := item[field].(string); ok {
				return text
			}
		}
	}
	return fmt.Sprint(position)
}
