package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// documentedCommand matches a command line in a code block of the documentation. A sleep
	// before the command is left out: it tells readers how long to wait, where scenarios poll.
	documentedCommand = regexp.MustCompile(`(?m)^ *\$ (?:sleep \d+; )?(.*)$`)
	// scenarioCommand matches a line of a scenario that runs a documented command line.
	scenarioCommand = regexp.MustCompile(`(?m)^(?:run \d|until \d '[^']*') (.*)$`)
	// toolPath matches cowslipctl with the directory in which a documentation page finds it: bin
	// for a build of one's own, or that of the local example.
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

// commandsOf returns the command lines in files that pattern matches, each with its file.
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

// Guards against documented command lines that no scenario runs and that may therefore not work,
// and against scenarios that run command lines that are not documented.
func TestScenariosRunDocumentedCommands(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	scenarios, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	documented := commandsOf(t, documentedCommand, append(pages, "../../README.md"))
	exercised := commandsOf(t, scenarioCommand, scenarios)
	for command, page := range documented {
		if exercised[command] == "" {
			t.Errorf("%s documents a command that no scenario runs: %s", page, command)
		}
	}
	for command, scenario := range exercised {
		if documented[command] == "" {
			t.Errorf("%s runs a command that is not documented: %s", scenario, command)
		}
	}
	if len(documented) == 0 {
		t.Error("the documentation contains no commands")
	}
}

// Guards against a README.md that lacks a step which a new operator needs: explain an ejection,
// change a contract and see it in force, drain a VM. Also guards against a local example that
// prints other commands than README.md.
func TestReadmeCoversFirstOperations(t *testing.T) {
	readme := commandsOf(t, documentedCommand, []string{"../../README.md"})
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
			t.Errorf("README.md shows no command that begins with %s", start)
		}
	}
}
