package ctl

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"

	"github.com/cowsliprun/cowsliprun/internal/admin"
)

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a command, or a route of the admin API, that docs/cowslipctl.md does not describe.
// That happens when one is added without its documentation.
func TestDocsDescribeAllCommandsAndRoutes(t *testing.T) {
	page := readPage(t, "../../docs/cowslipctl.md")
	for _, cmd := range commands() {
		if !strings.Contains(page, "\n## "+cmd.name+"\n") || !strings.Contains(page, "\n| `"+cmd.name) {
			t.Errorf("docs/cowslipctl.md does not describe %s", cmd.name)
		}
	}
	routes, ok := admin.Handler(nil).(chi.Routes)
	if !ok {
		t.Fatal("the admin handler does not list its routes")
	}
	err := chi.Walk(routes, func(method, path string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if !strings.Contains(page, "`"+method+" "+path) {
			t.Errorf("docs/cowslipctl.md does not list %s %s", method, path)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// Guards against links to pages that were moved or deleted, and against other commands than these
// two in the setup section of README.md, which CI reads.
func TestDocsLinksExistAndSetupHasTwoCommands(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, "../../README.md", "../../CONTRIBUTING.md")
	for _, page := range pages {
		for _, link := range regexp.MustCompile(`\]\(([^):#]+)\)`).FindAllStringSubmatch(readPage(t, page), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), link[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, link[1], err)
			}
		}
	}
	var blocks []string
	for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(readPage(t, "../../README.md"), -1) {
		blocks = append(blocks, block[1])
	}
	if got := strings.Join(blocks, ""); got != "go run ./examples/local\ngo test ./...\n" {
		t.Errorf("the set-up commands of README.md are %q", got)
	}
}
