package ejection

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against wrong figures in the operators' documentation, from which overrides are chosen. It
// must list each detector parameter with its unit, range and values in both presets.
func TestDocumentationListsAllParameters(t *testing.T) {
	page, err := os.ReadFile("../../docs/ejection.md")
	if err != nil {
		t.Fatal(err)
	}
	fast, _ := Preset(FastDetection)
	few, _ := Preset(FewFalseEjections)
	for _, p := range Parameters() {
		row := fmt.Sprintf("| `%s` | %s | %v to %v | %v | %v | %s |", p.Name, p.Unit, p.Min, p.Max, p.Value(fast), p.Value(few), p.Meaning)
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/ejection.md lacks this row of the detector parameters:\n%s", row)
		}
	}
}
