package fleet

import (
	"context"
	"os"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// MeasuredCustomer is the customer of a measured fleet, measuredService its service.
const (
	MeasuredCustomer = "measurement"
	measuredService  = "stock"
)

// Measured describes a fleet for a measurement: one service, and one customer whose limits are out of reach.
type Measured struct {
	VMs, Backends, Slots int
	// Preset is that of the detector, empty for the default.
	Preset string
}

// Start builds the programs, starts the fleet as separate processes and returns it with a function that ends it.
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
	end := func() {
		f.Kill()
		os.RemoveAll(dir)
	}
	if err := f.Start(ctx); err != nil {
		end()
		return nil, nil, err
	}
	return f, end, nil
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
