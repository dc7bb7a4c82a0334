package ejection

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// The operators' page must list each number with its unit, range and both presets, or an override is made from wrong figures.
func TestPageListsAllNumbers(t *testing.T) {
	page, err := os.ReadFile("../../docs/ejection.md")
	if err != nil {
		t.Fatal(err)
	}
	fast, _ := Preset(FastDetection)
	few, _ := Preset(FewFalseEjections)
	for _, n := range Numbers() {
		row := fmt.Sprintf("| `%s` | %s | %v to %v | %v | %v | %s |", n.Name, n.Unit, n.Min, n.Max, n.Value(fast), n.Value(few), n.Meaning)
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/ejection.md lacks the row\n%s", row)
		}
	}
}
