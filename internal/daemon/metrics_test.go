package daemon

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// Guards against a metric that the documentation of the metrics lacks, and against a documented
// metric that does not exist. Both the names that a running daemon exports and those in the source
// must be documented.
func TestMetricsPageIsComplete(t *testing.T) {
	documented := documentedMetrics(t)
	d := newUnconfigured(t)
	requests := requestMetrics{d.metrics}
	requests.Answered("stock", time.Millisecond, 2)
	requests.CrossRegionBytes("stock")(1)
	requests.Refused(errkind.NoBackend)
	requests.BrokenOff("stock")
	waits := newWaitMetrics(d.metrics)
	waits.Began()
	waits.Ended(true, time.Millisecond)
	waits.Refused(true)
	var out strings.Builder
	newUnconfiguredRegistry(t, strictRevocation).metrics.WritePrometheus(&out)
	d.metrics.WritePrometheus(&out) // without the go_ and process_ metrics of the library
	if !strings.Contains(out.String(), "cowslip_platform_age_seconds 0\n") {
		t.Error("the platform has not answered yet, but its age is not 0")
	}
	registered := map[string]bool{}
	for line := range strings.Lines(out.String()) {
		name, _, _ := strings.Cut(strings.Fields(line)[0], "{")
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		registered[name] = true
	}
	if got := slices.Sorted(maps.Keys(registered)); !slices.Equal(got, documented) {
		t.Errorf("a daemon has the metrics %v\nthe page has %v", got, documented)
	}
	if got := metricsInSource(t); !slices.Equal(got, documented) {
		t.Errorf("the source names the metrics %v\nthe page has %v", got, documented)
	}
}

// documentedMetrics returns the metrics in the tables of the documentation, sorted.
func documentedMetrics(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, row := range regexp.MustCompile("(?m)^\\| `(cowslip_[a-z_]+)` \\|(.*)\\|$").FindAllStringSubmatch(string(data), -1) {
		rows = append(rows, row[1])
		for _, cell := range strings.Split(row[2], "|") {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("the row of %s has an empty cell", row[1])
			}
		}
	}
	slices.Sort(rows)
	return rows
}

// metricsInSource returns the metric names in string literals of all packages, sorted. These
// include metrics that are registered at their first use only.
func metricsInSource(t *testing.T) []string {
	t.Helper()
	names := map[string]bool{}
	literal := regexp.MustCompile("[\"`](cowslip_[a-z_]+)")
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, found := range literal.FindAllStringSubmatch(string(data), -1) {
			names[found[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(names))
}
