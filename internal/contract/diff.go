package contract

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-json-experiment/json"
)

// The types of change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is what differs between two versions of a document.
type Change struct {
	// Type is Added, Removed or Changed.
	Type string `json:"type"`
	Ref  Ref    `json:"ref"`
	// OldGeneration and NewGeneration are zero on the side without the document.
	OldGeneration uint64 `json:"oldGeneration,omitzero"`
	NewGeneration uint64 `json:"newGeneration,omitzero"`
	// Fields lists what differs in a changed document, besides the generation.
	Fields []FieldChange `json:"fields,omitempty"`
	// Problem says why daemons would not take the new version.
	Problem string `json:"problem,omitempty"`
}

// FieldChange is a field with its values as JSON. An absent value is empty.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff compares documents by kind and name, routes by path prefix and backend servers by id. The order of routes, backend
// servers and keys does not matter.
func Diff(before, after Documents) []Change {
	changes := []Change{}
	next := map[Ref]Document{}
	for _, doc := range after.All() {
		next[doc.Ref()] = doc
	}
	for _, doc := range before.All() {
		ref := doc.Ref()
		now := next[ref]
		delete(next, ref)
		if now == nil {
			changes = append(changes, Change{Type: Removed, Ref: ref, OldGeneration: doc.Version()})
		} else if change, differs := diffDocument(doc, now); differs {
			changes = append(changes, change)
		}
	}
	for ref, doc := range next {
		changes = append(changes, Change{Type: Added, Ref: ref, NewGeneration: doc.Version()})
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareRefs(a.Ref, b.Ref) })
	return changes
}

func diffDocument(before, after Document) (Change, bool) {
	change := Change{Type: Changed, Ref: before.Ref(), OldGeneration: before.Version(), NewGeneration: after.Version()}
	old, now := flatten(before), flatten(after)
	paths := map[string]bool{}
	for path := range old {
		paths[path] = true
	}
	for path := range now {
		paths[path] = true
	}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != now[path] && path != "generation" {
			change.Fields = append(change.Fields, FieldChange{path, old[path], now[path]})
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

// flatten returns the fields of a document by path, as JSON.
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

// itemKey identifies an item of a list: by its path prefix, id or text, so that an inserted item does not make all items
// after it look changed.
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
