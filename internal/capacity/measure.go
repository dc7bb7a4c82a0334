package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/standin/fleet"
)

// Options configures Run.
type Options struct {
	// Bin is the directory with the programs that fleet.Build made.
	Bin string
	// Daemons is the number of real daemons, at least 2.
	Daemons int
	// Settle is the time from when all daemons are ready until the measurement. Window is the
	// length of the measurement.
	Settle, Window time.Duration
}

// Result holds the results of one run. All but Size and Ready are means over the real daemons.
type Result struct {
	Size Size
	// Ready is the time from when the platform answers until all daemons are ready.
	Ready time.Duration
	// CPU is the share of one core that is in use, from 0 to 1.
	CPU float64
	// Heap is the heap in use and Resident the resident memory, both in bytes at the end.
	Heap, Resident float64
	// BytesPerSecond is the number of control bytes sent and received. The metrics count only calls
	// that the daemon makes. Since daemons answer as many as they make, the value is doubled.
	BytesPerSecond float64
	// Goroutines is the number of goroutines at the end.
	Goroutines float64
}

// Run starts a fleet of the given size, measures it and stops it. The result is valid only if the
// error is nil. Temporary files are removed.
func Run(ctx context.Context, size Size, o Options) (Result, error) {
	dir, err := os.MkdirTemp("", "cowsliprun-capacity-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	f, backend, err := startPlatform(ctx, size, o, dir)
	if f != nil {
		defer f.Kill()
	}
	if err != nil {
		return Result{}, err
	}
	startTime := time.Now()
	if err := startDaemons(ctx, f, backend, o.Daemons); err != nil {
		return Result{}, err
	}
	result := Result{Size: size, Ready: time.Since(startTime)}
	if !pause.For(ctx, o.Settle) {
		return result, ctx.Err()
	}
	before, err := sampleAll(ctx, f, o.Daemons)
	if err != nil {
		return result, err
	}
	if !pause.For(ctx, o.Window) {
		return result, ctx.Err()
	}
	after, err := sampleAll(ctx, f, o.Daemons)
	if err != nil {
		return result, err
	}
	result.average(before, after, o)
	return result, nil
}

// startPlatform starts the stand-in platform with the documents of the fleet. The returned fleet
// must be killed also after an error.
func startPlatform(ctx context.Context, size Size, o Options, dir string) (*fleet.Fleet, contract.BackendServer, error) {
	var realVMs []contract.VM
	for i := range o.Daemons {
		realVMs = append(realVMs, contract.VM{
			APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: fmt.Sprintf("vm%d", i), Generation: 1,
			DataCentre: fmt.Sprintf("dc%d", i%dataCentres), PeerAddress: fleet.FreeAddress(), AdminAddress: fleet.FreeAddress(),
		})
	}
	backend := contract.BackendServer{ID: "backend", Address: fleet.FreeAddress()}
	f := fleet.New(fleet.Options{
		Bin: o.Bin, Dir: dir, Platform: fleet.FreeAddress(), Documents: size.Documents(realVMs, backend.Address), Peers: o.Daemons,
	})
	if err := os.MkdirAll(filepath.Join(dir, "values"), 0o755); err != nil {
		return f, backend, err
	}
	return f, backend, f.StartPlatform(ctx)
}

// startDaemons starts the backend server and the daemons, and waits until all daemons are ready.
func startDaemons(ctx context.Context, f *fleet.Fleet, backend contract.BackendServer, daemons int) error {
	if err := f.StartBackend(backend); err != nil {
		return err
	}
	for i := range daemons {
		if err := f.StartDaemon(fmt.Sprintf("vm%d", i)); err != nil {
			return err
		}
	}
	for i := range daemons {
		if err := f.WaitReady(ctx, fmt.Sprintf("vm%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// sample holds the metrics of one daemon by name, labels included.
type sample = map[string]float64

func sampleAll(ctx context.Context, f *fleet.Fleet, daemons int) ([]sample, error) {
	var all []sample
	for i := range daemons {
		s, err := ReadMetrics(ctx, f.AdminURL(fmt.Sprintf("vm%d", i))+"/metrics")
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// ReadMetrics reads the metrics that a daemon serves at url and returns their values by name,
// labels included. It does not check the HTTP status.
func ReadMetrics(ctx context.Context, url string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return parseMetrics(resp.Body)
}

func parseMetrics(r io.Reader) (sample, error) {
	s := sample{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ') // labels may contain spaces
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		name, text := line[:at], line[at+1:]
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("value of metric %s: %w", name, err)
		}
		s[name] = value
	}
	return s, lines.Err()
}

// average sets the means over the daemons. before and after are the samples at the start and end of
// o.Window.
func (r *Result) average(before, after []sample, o Options) {
	n := float64(len(after))
	for i, s := range after {
		increase := func(name string) float64 { return s[name] - before[i][name] }
		r.CPU += increase("process_cpu_seconds_total") / o.Window.Seconds() / n
		r.Heap += s["go_memstats_heap_inuse_bytes"] / n
		r.Resident += s["process_resident_memory_bytes"] / n
		r.Goroutines += s["cowslip_goroutines"] / n
		messageBytes := increase("cowslip_control_bytes_sent_total") + increase("cowslip_control_bytes_received_total")
		r.BytesPerSecond += 2 * messageBytes / o.Window.Seconds() / n
	}
}
