package ctl

import (
	"bufio"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// maxLogLineBytes bounds one line of a log. A longer line is an error.
const maxLogLineBytes = 1 << 20

var storyCommand = command{
	name:    "story",
	args:    "REQUEST-ID [FILE...]",
	summary: "Print the log lines of several daemons about one request, in order of time.",
	details: "Reads the files, or standard input when none is named. A line belongs to the request when it has the field request=ID.\n" +
		"--around also prints lines about the backend servers that the request reached, from 5 lines before the request.",
	examples: []string{
		"cowslipctl story 9c41d07be2a35f68 /var/log/cowsliprun/*.log",
		"cat *.log | cowslipctl story 9c41d07be2a35f68 --around",
	},
	setup: func(p *flaggy.Parser) runFunc {
		around := false
		p.Bool(&around, "a", "around", "also print lines about the backend servers that the request reached")
		return func(out *output, args []string) int { return runStory(out, args, around) }
	},
}

// Fields of a log line in logfmt.
var (
	logTime    = regexp.MustCompile(`\bts=(\S+)`)
	logBackend = regexp.MustCompile(`\bbackend=(\S+)`)
)

func runStory(out *output, args []string, around bool) int {
	if len(args) == 0 {
		return out.failUsage("a request id is required")
	}
	lines, err := readLogs(out.In, args[1:])
	if err != nil {
		return out.failUsage("%v", err)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timestampOf(a), timestampOf(b)) })
	selected := requestLines(lines, args[0], around)
	if len(selected) == 0 {
		io.WriteString(out.Err, "no line has request="+args[0]+"\n") //nolint:errcheck // the exit status reports it too
		return ExitFindings
	}
	for _, line := range selected {
		io.WriteString(out.Out, line+"\n") //nolint:errcheck // a closed pipe ends the command
	}
	return ExitOK
}

func readLogs(in io.Reader, files []string) ([]string, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var lines []string
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		more, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(in io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// timestampOf returns the field ts of a line, or an empty string without one.
func timestampOf(line string) string {
	if m := logTime.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}

// contextLines is how many lines about a backend server are shown before the first line of the
// request.
const contextLines = 5

// requestLines returns the lines about the request. With around, it also returns lines about the
// backend servers that the request reached, as keepBackendLines selects them.
func requestLines(lines []string, id string, around bool) []string {
	keep := map[int]bool{}
	backends := map[string]bool{}
	first, last := -1, -1
	for i, line := range lines {
		if !hasField(line, "request="+id) {
			continue
		}
		keep[i] = true
		if first < 0 {
			first = i
		}
		last = i
		if m := logBackend.FindStringSubmatch(line); m != nil {
			backends[m[1]] = true
		}
	}
	if around {
		for backend := range backends {
			keepBackendLines(lines, backend, first, last, keep)
		}
	}
	var out []string
	for i, line := range lines {
		if keep[i] {
			out = append(out, line)
		}
	}
	return out
}

// keepBackendLines marks the lines about a backend server between the lines first and last, and up
// to contextLines of them before first.
func keepBackendLines(lines []string, backend string, first, last int, keep map[int]bool) {
	before := 0
	for i := last; i >= 0 && before < contextLines; i-- {
		if !hasField(lines[i], "backend="+backend) {
			continue
		}
		keep[i] = true
		if i < first {
			before++
		}
	}
}

// hasField reports whether a line contains field, such as request=ab12, followed by a space or the
// end.
func hasField(line, field string) bool {
	for rest := line; ; {
		at := strings.Index(rest, field)
		if at < 0 {
			return false
		}
		rest = rest[at+len(field):]
		if rest == "" || rest[0] == ' ' {
			return true
		}
	}
}
