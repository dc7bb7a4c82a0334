package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Size is the size of a fleet and its configuration.
type Size struct {
	VMs, BackendServers, Services, Customers, Routes int
}

// DesignSize is the size that the system must support.
var DesignSize = Size{VMs: 1200, BackendServers: 14000, Services: 890, Customers: 37000, Routes: 26000}

// Scaled returns s with each number multiplied by share and at least 1.
func (s Size) Scaled(share float64) Size {
	scale := func(n int) int { return max(1, int(float64(n)*share)) }
	return Size{scale(s.VMs), scale(s.BackendServers), scale(s.Services), scale(s.Customers), scale(s.Routes)}
}

// Regions and data centres of every generated fleet.
const (
	regions     = 2
	dataCentres = 7
)

// Documents returns the documents of a fleet of size s. The first VMs are realVMs, which must not
// be empty. The others get the peer addresses of realVMs, so that messages to them reach a daemon.
// All backend servers are at backendAddress.
func (s Size) Documents(realVMs []contract.VM, backendAddress string) contract.Documents {
	var docs contract.Documents
	for i := range dataCentres {
		docs.DataCentres = append(docs.DataCentres, contract.DataCentre{
			APIVersion: contract.APIVersion, Kind: contract.KindDataCentre, DataCentre: fmt.Sprintf("dc%d", i), Generation: 1, Region: fmt.Sprintf("region%d", i%regions),
		})
	}
	for i := range s.VMs {
		vm := contract.VM{
			APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: fmt.Sprintf("vm%d", i), Generation: 1,
			DataCentre: docs.DataCentres[i%dataCentres].DataCentre, PeerAddress: realVMs[i%len(realVMs)].PeerAddress,
		}
		if i < len(realVMs) {
			vm = realVMs[i]
		}
		docs.VMs = append(docs.VMs, vm)
	}
	docs.Services = s.services(docs.VMs, backendAddress)
	docs.Contracts = s.contracts(docs.Services)
	return docs
}

func (s Size) services(vms []contract.VM, backendAddress string) []contract.Service {
	services := make([]contract.Service, s.Services)
	for i := range services {
		services[i] = contract.Service{
			APIVersion: contract.APIVersion, Kind: contract.KindService, Service: fmt.Sprintf("service%d", i), Generation: 1, Preset: "fast-detection",
		}
	}
	for i := range s.BackendServers {
		svc := &services[i%s.Services]
		// Assignment in turn spreads the backend servers of a service over VMs and data centres.
		svc.BackendServers = append(svc.BackendServers, contract.BackendServer{
			ID: fmt.Sprintf("backend%d", i), VM: vms[i%len(vms)].VM, Address: backendAddress, Slots: 5,
		})
	}
	return services
}

func (s Size) contracts(services []contract.Service) []contract.Contract {
	contracts := make([]contract.Contract, s.Customers)
	for i := range contracts {
		name := fmt.Sprintf("customer%d", i)
		digest := sha256.Sum256([]byte(name + "-key"))
		contracts[i] = contract.Contract{
			APIVersion: contract.APIVersion, Kind: contract.KindContract, Customer: name, Generation: 1,
			APIKeySHA256: []string{hex.EncodeToString(digest[:])},
			Limits:       contract.Limits{RatePerSecond: 100, Concurrency: 20},
		}
	}
	for i := range s.Routes {
		c := &contracts[i%s.Customers]
		c.Routes = append(c.Routes, contract.Route{PathPrefix: fmt.Sprintf("/route%d", len(c.Routes)), Service: services[i%len(services)].Service})
	}
	return contracts
}
