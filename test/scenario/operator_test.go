package scenario

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/ejection"
)

const (
	exampleDocuments = "../../examples/local/fleet"
	examplePlatform  = "127.0.0.1:18500"
	// commandTimeout limits one command of an operator. It is longer than the longest wait of a
	// command, that of cowslipctl drain.
	commandTimeout = 2 * time.Minute
)

// exampleAddress matches the fixed addresses of the local example, which the documentation shows.
var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:18\d{3}`)

// addressMap maps the addresses of the local example to free ones in the command lines of a
// scenario, and back in their output. Thus scenarios can run beside each other and beside the
// example.
type addressMap struct{ actual, documented map[string]string }

func newAddressMap() *addressMap {
	return &addressMap{actual: map[string]string{}, documented: map[string]string{}}
}

// toActual replaces the documented addresses in text by actual ones, and allocates those that are
// new.
func (p *addressMap) toActual(text string) string {
	return exampleAddress.ReplaceAllStringFunc(text, func(address string) string {
		if p.actual[address] == "" {
			p.actual[address] = freeAddress()
			p.documented[p.actual[address]] = address
		}
		return p.actual[address]
	})
}

// toDocumented replaces the actual addresses in text by documented ones.
func (p *addressMap) toDocumented(text string) string {
	for actualAddress, address := range p.documented {
		text = strings.ReplaceAll(text, actualAddress, address)
	}
	return text
}

// cmdExample implements "example": it starts the fleet of the local example from its documents. It
// copies them to $FLEET/documents; $FLEET is the directory of the fleet.
func cmdExample(ts *testscript.TestScript, h *harness, _ []string) {
	dir := filepath.Join(h.dir, "documents")
	ts.Check(os.MkdirAll(dir, 0o755))
	files, err := filepath.Glob(exampleDocuments + "/*.yaml")
	ts.Check(err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		ts.Check(err)
		ts.Check(os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(h.addresses.toActual(string(data))), 0o644))
	}
	set := contract.Set{CheckDetector: ejection.CheckOverrides}
	set.AddPaths(dir)
	if issues := set.Check(); len(issues) > 0 {
		ts.Fatalf("the documents of the local example have faults: %v", issues)
	}
	ts.Setenv("FLEET", h.dir)
	h.launch(ts, set.Documents(), h.addresses.toActual(examplePlatform), false)
}

// cmdRun implements "run STATUS COMMAND ARGS": it runs a documented command line and requires its
// exit status. The commands stdout and stderr of testscript check its output.
func cmdRun(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: run STATUS COMMAND ARGS")
	}
	r := h.runCommandLine(ts, args[1:])
	r.print(ts)
	if got := strconv.Itoa(r.status); got != args[0] {
		ts.Fatalf("the command has exit status %s, want %s", got, args[0])
	}
}

// cmdUntil implements "until STATUS REGEXP COMMAND ARGS": it repeats a documented command line
// until it has the exit status and its standard output matches. It replaces a sleep in the
// documentation, or an operator who looks again.
func cmdUntil(ts *testscript.TestScript, h *harness, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: until STATUS REGEXP COMMAND ARGS")
	}
	want, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	var r commandResult
	h.awaitCondition(ts, strings.Join(args, " "), func() (bool, string) {
		r = h.runCommandLine(ts, args[2:])
		return strconv.Itoa(r.status) == args[0] && want.MatchString(r.stdout), fmt.Sprintf("exit status %d, output:\n%s%s", r.status, r.stdout, r.stderr)
	})
	r.print(ts)
}

// commandResult is the exit status and output of a command.
type commandResult struct {
	status         int
	stdout, stderr string
}

// print passes the output on to testscript.
func (r commandResult) print(ts *testscript.TestScript) {
	fmt.Fprint(ts.Stdout(), r.stdout)
	fmt.Fprint(ts.Stderr(), r.stderr)
}

// runCommandLine runs one command line. curl is emulated, so that the tests need only Go and
// standard Linux tools. cowsliprund is started through the fleet, which ends it with the scenario.
func (h *harness) runCommandLine(ts *testscript.TestScript, line []string) commandResult {
	args := make([]string, len(line))
	for i, arg := range line {
		args[i] = h.addresses.toActual(arg)
	}
	switch filepath.Base(args[0]) {
	case "cowslipctl":
		return h.runProgram(ts, filepath.Join(programDir, "cowslipctl"), args[1:])
	case "sed":
		return h.runProgram(ts, "sed", args[1:])
	case "curl":
		return h.curl(ts, args[1:])
	case "cowsliprund":
		if len(args) < 3 || args[1] != "--config" {
			ts.Fatalf("usage: cowsliprund --config FILE")
		}
		ts.Check(h.startDaemon(strings.TrimSuffix(filepath.Base(args[2]), ".yaml")))
		return commandResult{}
	}
	ts.Fatalf("run and until do not support the command %s", args[0])
	return commandResult{}
}

// runProgram runs a program in the directory of the fleet as the user anna. A trailing "< FILE" in
// args is its standard input.
func (h *harness) runProgram(ts *testscript.TestScript, program string, args []string) commandResult {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var stdin io.Reader
	if n := len(args); n >= 2 && args[n-2] == "<" {
		stdin, args = strings.NewReader(ts.ReadFile(args[n-1])), args[:n-2]
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Dir, cmd.Stdin, cmd.Stdout, cmd.Stderr = h.dir, stdin, &stdout, &stderr
	cmd.Env = append(os.Environ(), "USER=anna", "SUDO_USER=")
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		ts.Fatalf("%s: %v", program, err)
	}
	return commandResult{cmd.ProcessState.ExitCode(), h.addresses.toDocumented(stdout.String()), h.addresses.toDocumented(stderr.String())}
}

// curl sends the request that curl would send for these arguments, and returns the response body as
// standard output.
func (h *harness) curl(ts *testscript.TestScript, args []string) commandResult {
	method, address, header := http.MethodGet, "", http.Header{}
	for i := 0; i < len(args); i++ {
		switch args[i] {
		case "-s":
		case "-X":
			i++
			method = args[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(args[i], ": ")
			header.Set(name, value)
		default:
			if strings.HasPrefix(args[i], "-") {
				ts.Fatalf("the emulated curl does not support the flag %s", args[i])
			}
			address = args[i]
		}
	}
	req, err := http.NewRequest(method, address, nil)
	ts.Check(err)
	req.Header = header
	resp, err := h.client.Do(req)
	if err != nil {
		return commandResult{status: 7, stderr: err.Error() + "\n"} // as curl does if refused
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	return commandResult{stdout: h.addresses.toDocumented(string(body))}
}
