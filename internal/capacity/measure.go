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

// Options of Run.
type Options struct {
	// Bin holds the programs that fleet.Build made.
	Bin string
	// Daemons is the number of real daemons, at least 2.
	Daemons int
	// Window is the time over which processor time and bytes are measured, after Settle.
	Settle, Window time.Duration
}

// Result is the mean over the real daemons.
type Result struct {
	Size Size
	// Ready is the time from the start of the last daemon until all daemons serve.
	Ready time.Duration
	// CPU is the share of one core, idle of callers' requests.
	CPU float64
	// Heap is the heap in use, Resident the resident memory, both in bytes.
	Heap, Resident float64
	// BytesPerSecond counts bytes sent and received for messages that the daemon started, and as many for those it answered.
	BytesPerSecond float64
	// Goroutines is their number.
	Goroutines float64
}

// Run measures one size.
func Run(ctx context.Context, size Size, o Options) (Result, error) {
	dir, err := os.MkdirTemp("", "cowsliprun-capacity-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(dir)
	f, backend, err := start(ctx, size, o, dir)
	if f != nil {
		defer f.Kill()
	}
	if err != nil {
		return Result{}, err
	}
	began := time.Now()
	if err := startDaemons(ctx, f, backend, o.Daemons); err != nil {
		return Result{}, err
	}
	result := Result{Size: size, Ready: time.Since(began)}
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
	result.fill(before, after, o)
	return result, nil
}

func start(ctx context.Context, size Size, o Options, dir string) (*fleet.Fleet, contract.BackendServer, error) {
	var real []contract.VM
	for i := range o.Daemons {
		real = append(real, contract.VM{
			APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: fmt.Sprintf("vm%d", i), Generation: 1,
			DataCentre: fmt.Sprintf("dc%d", i%dataCentres), PeerAddress: fleet.FreeAddress(), AdminAddress: fleet.FreeAddress(),
		})
	}
	backend := contract.BackendServer{ID: "backend", Address: fleet.FreeAddress()}
	f := fleet.New(fleet.Options{
		Bin: o.Bin, Dir: dir, Platform: fleet.FreeAddress(), Documents: size.Documents(real, backend.Address), Peers: o.Daemons,
	})
	if err := os.MkdirAll(filepath.Join(dir, "values"), 0o755); err != nil {
		return f, backend, err
	}
	return f, backend, f.StartPlatform(ctx)
}

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

// sample holds the metrics of one daemon by name.
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

// ReadMetrics reads the metrics of a daemon by name, labels included.
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
			return nil, fmt.Errorf("metric %s: %w", name, err)
		}
		s[name] = value
	}
	return s, lines.Err()
}

func (r *Result) fill(before, after []sample, o Options) {
	n := float64(len(after))
	for i, s := range after {
		grown := func(name string) float64 { return s[name] - before[i][name] }
		r.CPU += grown("process_cpu_seconds_total") / o.Window.Seconds() / n
		r.Heap += s["go_memstats_heap_inuse_bytes"] / n
		r.Resident += s["process_resident_memory_bytes"] / n
		r.Goroutines += s["cowslip_goroutines"] / n
		started := grown("cowslip_control_bytes_sent_total") + grown("cowslip_control_bytes_received_total")
		r.BytesPerSecond += 2 * started / o.Window.Seconds() / n
	}
}
