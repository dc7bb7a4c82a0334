package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// pageCommand matches a command line in a block of a page. A sleep before it tells a reader when to look; scenarios look
	// again until it holds.
	pageCommand = regexp.MustCompile(`(?m)^ *\$ (?:sleep \d+; )?(.*)$`)
	// runCommand matches a line of a scenario that runs a command line of a page.
	runCommand = regexp.MustCompile(`(?m)^(?:run \d|until \d '[^']*') (.*)$`)
	// toolPath matches where a page finds the tool: built by go build, or in the directory of the example.
	toolPath = regexp.MustCompile(`^(?:bin|\$FLEET)/cowslipctl `)
)

func readText(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// commandsOf returns the command lines in text, each with the file that has it.
func commandsOf(t *testing.T, pattern *regexp.Regexp, files []string) map[string]string {
	t.Helper()
	list := map[string]string{}
	for _, file := range files {
		text := readText(t, file)
		if filepath.Ext(file) == ".txtar" {
			text, _, _ = strings.Cut(text, "\n-- ")
		}
		for _, match := range pattern.FindAllStringSubmatch(text, -1) {
			list[toolPath.ReplaceAllString(match[1], "cowslipctl ")] = file
		}
	}
	return list
}

// Guards against command lines on the pages that no scenario runs, so that a page says what was never tried, and against scenarios
// that run what no page says.
func TestScenariosRunTheCommandsOfThePages(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	scenarios, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	written := commandsOf(t, pageCommand, append(pages, "../../README.md"))
	ran := commandsOf(t, runCommand, scenarios)
	for command, page := range written {
		if ran[command] == "" {
			t.Errorf("%s has a command that no scenario runs: %s", page, command)
		}
	}
	for command, scenario := range ran {
		if written[command] == "" {
			t.Errorf("%s runs a command that no page has: %s", scenario, command)
		}
	}
	if len(written) == 0 {
		t.Error("the pages have no commands")
	}
}

// Guards against a first page that lacks a step: a newcomer who reads nothing else must be able to explain the ejection, change a
// contract, see it in force and drain a VM. Also guards against a list of the example that differs from it.
func TestReadmeShowsTheWayOfANewcomer(t *testing.T) {
	readme := commandsOf(t, pageCommand, []string{"../../README.md"})
	example := readText(t, "../../examples/local/main.go")
	for _, start := range []string{
		"cowslipctl explain backend ", "sed -i ", "cowslipctl check ", "cowslipctl diff ", "cowslipctl render ", "curl -s -X POST ", "cowslipctl wait ",
		"cowslipctl status customer ", "cowslipctl drain ",
	} {
		found := false
		for command := range readme {
			if !strings.HasPrefix(command, start) {
				continue
			}
			found = true
			if !strings.Contains(example, command+"\n") {
				t.Errorf("the local example does not print the command of README.md: %s", command)
			}
		}
		if !found {
			t.Errorf("README.md does not show %s", start)
		}
	}
}
