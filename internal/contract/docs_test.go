package contract

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// Guards against a documentation page that falls behind the code: examples that fail the checks or
// lack a field, and tables that lack a field or list one that does not exist.
func TestContractsPageExamplesAndTables(t *testing.T) {
	data, err := os.ReadFile("../../docs/contracts.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	var examples []string
	for _, block := range regexp.MustCompile("(?s)```yaml\n(.*?)```").FindAllStringSubmatch(page, -1) {
		examples = append(examples, block[1])
	}
	var set Set
	set.Add("docs/contracts.md", []byte(strings.Join(examples, "---\n")))
	if issues := set.Check(); len(issues) > 0 || len(set.docs) != 4 {
		t.Errorf("docs/contracts.md: %d examples, want 4 without issues; issues:\n%v", len(set.docs), issues)
	}
	for _, doc := range set.docs {
		kind := doc.Ref().Kind
		_, section, _ := strings.Cut(page, "\n## "+kind+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		var rows []string
		for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(section, -1) {
			rows = append(rows, row[1])
		}
		want := strictyaml.FieldPaths(reflect.TypeOf(doc.Document).Elem())
		if !slices.Equal(rows, want) {
			t.Errorf("%s: the table lists %v, the fields are %v", kind, rows, want)
		}
		for _, path := range want {
			if !doc.source.Has(path) {
				t.Errorf("%s: the example lacks %s", kind, path)
			}
		}
	}
}
