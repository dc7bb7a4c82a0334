package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Layout describes a fleet from which Documents makes complete documents.
type Layout struct {
	// DataCentres holds the name and region of each data centre.
	DataCentres []contract.DataCentre
	// VMs is the number of VMs. They are assigned to the data centres round-robin.
	VMs      int
	Services []contract.Service
	// BackendsPerService is the number of backend servers that are made for each service that lists
	// none. They are assigned to the VMs round-robin.
	BackendsPerService int
	// Slots is the number of slots of each backend server that is made.
	Slots     int
	Contracts []contract.Contract
}

// Key returns the API key that Layout.Documents gives to a customer.
func Key(customer string) string { return customer + "-key" }

// Documents returns the documents of the fleet. Each customer's API key is Key. newAddress must
// return another loopback address at each call.
func (l Layout) Documents(newAddress func() string) contract.Documents {
	var docs contract.Documents
	for _, dc := range l.DataCentres {
		dc.APIVersion, dc.Kind, dc.Generation = contract.APIVersion, contract.KindDataCentre, 1
		docs.DataCentres = append(docs.DataCentres, dc)
	}
	for i := range l.VMs {
		docs.VMs = append(docs.VMs, contract.VM{
			APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: fmt.Sprintf("vm%d", i+1), Generation: 1,
			DataCentre: l.DataCentres[i%len(l.DataCentres)].DataCentre, PeerAddress: newAddress(), AdminAddress: newAddress(),
		})
	}
	placed := 0
	for _, svc := range l.Services {
		svc.APIVersion, svc.Kind, svc.Generation = contract.APIVersion, contract.KindService, max(svc.Generation, 1)
		explicit := svc.BackendServers
		svc.BackendServers = nil
		for _, b := range explicit {
			b.Address = newAddress()
			svc.BackendServers = append(svc.BackendServers, b)
		}
		for i := range l.BackendsPerService {
			if len(explicit) > 0 {
				break
			}
			svc.BackendServers = append(svc.BackendServers, contract.BackendServer{
				ID: fmt.Sprintf("%s-%d", svc.Service, i+1), VM: docs.VMs[placed%l.VMs].VM, Address: newAddress(), Slots: l.Slots,
			})
			placed++
		}
		docs.Services = append(docs.Services, svc)
	}
	for _, c := range l.Contracts {
		c.APIVersion, c.Kind, c.Generation = contract.APIVersion, contract.KindContract, max(c.Generation, 1)
		digest := sha256.Sum256([]byte(Key(c.Customer)))
		c.APIKeySHA256 = []string{hex.EncodeToString(digest[:])}
		docs.Contracts = append(docs.Contracts, c)
	}
	return docs
}

// FreeAddress returns a loopback address whose port is free at the time of the call. Another
// process may take the port before it is used. It panics if the system has no free port.
func FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("cannot listen on a free loopback port: %v", err))
	}
	defer listener.Close()
	return listener.Addr().String()
}
