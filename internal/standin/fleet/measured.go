package fleet

import (
	"context"
	"os"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

const (
	// MeasuredCustomer is the only customer of a fleet that Measured starts.
	MeasuredCustomer = "measurement"
	// measuredService is the only service of such a fleet.
	measuredService = "stock"
)

// Measured describes a fleet for measurements. It has one service and one customer, whose limits
// are so high that they refuse nothing.
type Measured struct {
	// VMs and Backends are the numbers of VMs and backend servers, Slots the slots of each backend
	// server.
	VMs, Backends, Slots int
	// Preset is the preset of the ejection detector, empty for the default.
	Preset string
}

// Start builds the programs, starts the fleet in a temporary directory and waits until every daemon
// is ready. The returned function kills all processes and removes the directory.
func (m Measured) Start(ctx context.Context) (*Fleet, func(), error) {
	dir, err := os.MkdirTemp("", "cowsliprun-measurement-")
	if err != nil {
		return nil, nil, err
	}
	if err := Build(ctx, dir); err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	f := New(Options{Bin: dir, Dir: dir, Platform: FreeAddress(), Documents: m.layout().Documents(FreeAddress)})
	cleanup := func() {
		f.Kill()
		os.RemoveAll(dir)
	}
	if err := f.Start(ctx); err != nil {
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

func (m Measured) layout() Layout {
	return Layout{
		DataCentres: []contract.DataCentre{{DataCentre: "dc1", Region: "r1"}, {DataCentre: "dc2", Region: "r1"}},
		VMs:         m.VMs, BackendsPerService: m.Backends, Slots: m.Slots,
		Services: []contract.Service{{Service: measuredService, Preset: m.Preset, Detector: map[string]float64{"coldStart": 2}}},
		Contracts: []contract.Contract{{
			Customer: MeasuredCustomer, Routes: []contract.Route{{PathPrefix: "/", Service: measuredService}},
			Limits: contract.Limits{RatePerSecond: 100_000, Concurrency: 10_000},
		}},
	}
}
