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
	// commandLimit bounds one command of an operator. The longest wait of a command, that of drain, ends before.
	commandLimit = 2 * time.Minute
)

// exampleAddress matches the fixed addresses of the local example, which the pages name.
var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:18\d{3}`)

// pageAddresses replaces the addresses of the local example by free ones, so that scenarios run beside each other and beside the
// example, and turns them back in what commands print.
type pageAddresses struct{ real, page map[string]string }

func newPageAddresses() *pageAddresses {
	return &pageAddresses{real: map[string]string{}, page: map[string]string{}}
}

func (p *pageAddresses) toReal(text string) string {
	return exampleAddress.ReplaceAllStringFunc(text, func(address string) string {
		if p.real[address] == "" {
			p.real[address] = freeAddress()
			p.page[p.real[address]] = address
		}
		return p.real[address]
	})
}

func (p *pageAddresses) toPage(text string) string {
	for realAddress, address := range p.page {
		text = strings.ReplaceAll(text, realAddress, address)
	}
	return text
}

// cmdExample starts the fleet of the local example from its documents, which it copies to $FLEET/documents.
func cmdExample(ts *testscript.TestScript, w *world, _ []string) {
	dir := filepath.Join(w.dir, "documents")
	ts.Check(os.MkdirAll(dir, 0o755))
	files, err := filepath.Glob(exampleDocuments + "/*.yaml")
	ts.Check(err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		ts.Check(err)
		ts.Check(os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(w.addresses.toReal(string(data))), 0o644))
	}
	set := contract.Set{Detector: ejection.CheckOverrides}
	set.AddPaths(dir)
	if issues := set.Check(); len(issues) > 0 {
		ts.Fatalf("documents of the example: %v", issues)
	}
	ts.Setenv("FLEET", w.dir)
	w.launch(ts, set.Documents(), w.addresses.toReal(examplePlatform), false)
}

// cmdRun runs a command line of the pages as written there and requires its exit status: run STATUS COMMAND ARGS. The output is
// that of stdout and stderr of testscript.
func cmdRun(ts *testscript.TestScript, w *world, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: run STATUS COMMAND ARGS")
	}
	r := w.operate(ts, args[1:])
	r.show(ts)
	if got := strconv.Itoa(r.status); got != args[0] {
		ts.Fatalf("exit status %s, want %s", got, args[0])
	}
}

// cmdUntil runs a command line of the pages again until it has the exit status and its standard output matches: until STATUS
// REGEXP COMMAND ARGS. It stands for a sleep of the page or an operator who looks again.
func cmdUntil(ts *testscript.TestScript, w *world, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: until STATUS REGEXP COMMAND ARGS")
	}
	want, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	var r result
	w.awaitAll(ts, strings.Join(args, " "), func() (bool, string) {
		r = w.operate(ts, args[2:])
		return strconv.Itoa(r.status) == args[0] && want.MatchString(r.stdout), fmt.Sprintf("exit status %d\n%s%s", r.status, r.stdout, r.stderr)
	})
	r.show(ts)
}

// result is what a command of an operator gave.
type result struct {
	status         int
	stdout, stderr string
}

func (r result) show(ts *testscript.TestScript) {
	fmt.Fprint(ts.Stdout(), r.stdout)
	fmt.Fprint(ts.Stderr(), r.stderr)
}

// operate runs one command line. curl is done here, because the tests need nothing but Go and the tools of every Linux. A daemon is
// started by the fleet, which ends it with the scenario.
func (w *world) operate(ts *testscript.TestScript, line []string) result {
	args := make([]string, len(line))
	for i, arg := range line {
		args[i] = w.addresses.toReal(arg)
	}
	switch filepath.Base(args[0]) {
	case "cowslipctl":
		return w.execute(ts, filepath.Join(programs, "cowslipctl"), args[1:])
	case "sed":
		return w.execute(ts, "sed", args[1:])
	case "curl":
		return w.curl(ts, args[1:])
	case "cowsliprund":
		if len(args) < 3 || args[1] != "--config" {
			ts.Fatalf("usage: cowsliprund --config FILE")
		}
		ts.Check(w.startDaemon(strings.TrimSuffix(filepath.Base(args[2]), ".yaml")))
		return result{}
	}
	ts.Fatalf("the scenarios do not run %s", args[0])
	return result{}
}

func (w *world) execute(ts *testscript.TestScript, program string, args []string) result {
	ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
	defer cancel()
	var stdin io.Reader
	if n := len(args); n >= 2 && args[n-2] == "<" {
		stdin, args = strings.NewReader(ts.ReadFile(args[n-1])), args[:n-2]
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Dir, cmd.Stdin, cmd.Stdout, cmd.Stderr = w.dir, stdin, &stdout, &stderr
	cmd.Env = append(os.Environ(), "USER=anna", "SUDO_USER=")
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		ts.Fatalf("%s: %v", program, err)
	}
	return result{cmd.ProcessState.ExitCode(), w.addresses.toPage(stdout.String()), w.addresses.toPage(stderr.String())}
}

// curl makes the request that curl would make with these flags, and prints the body.
func (w *world) curl(ts *testscript.TestScript, args []string) result {
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
				ts.Fatalf("the scenarios do not know curl %s", args[i])
			}
			address = args[i]
		}
	}
	req, err := http.NewRequest(method, address, nil)
	ts.Check(err)
	req.Header = header
	resp, err := w.client.Do(req)
	if err != nil {
		return result{status: 7, stderr: err.Error() + "\n"} // the status of curl for a refused connection
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	return result{stdout: w.addresses.toPage(string(body))}
}
