package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"

	"github.com/cowsliprun/cowsliprun/internal/contract"
)

// Layout describes a fleet: VMs are spread over the data centres in turn, backend servers of each service over the VMs.
type Layout struct {
	// DataCentres maps each data centre, in order, to its region.
	DataCentres []contract.DataCentre
	VMs         int
	Services    []contract.Service
	// BackendsPerService is the number of backend servers of each service that lists none.
	BackendsPerService int
	Slots              int
	Contracts          []contract.Contract
}

// Key returns the API key that Layout gives to a customer.
func Key(customer string) string { return customer + "-key" }

// Documents returns the documents of the fleet with addresses from free, which returns a new loopback address at each call.
func (l Layout) Documents(free func() string) contract.Documents {
	var docs contract.Documents
	for _, dc := range l.DataCentres {
		dc.APIVersion, dc.Kind, dc.Generation = contract.APIVersion, contract.KindDataCentre, 1
		docs.DataCentres = append(docs.DataCentres, dc)
	}
	for i := range l.VMs {
		docs.VMs = append(docs.VMs, contract.VM{
			APIVersion: contract.APIVersion, Kind: contract.KindVM, VM: fmt.Sprintf("vm%d", i+1), Generation: 1,
			DataCentre: l.DataCentres[i%len(l.DataCentres)].DataCentre, PeerAddress: free(), AdminAddress: free(),
		})
	}
	at := 0
	for _, svc := range l.Services {
		svc.APIVersion, svc.Kind, svc.Generation = contract.APIVersion, contract.KindService, max(svc.Generation, 1)
		listed := svc.BackendServers
		svc.BackendServers = nil
		for _, b := range listed {
			b.Address = free()
			svc.BackendServers = append(svc.BackendServers, b)
		}
		for i := range l.BackendsPerService {
			if len(listed) > 0 {
				break
			}
			svc.BackendServers = append(svc.BackendServers, contract.BackendServer{
				ID: fmt.Sprintf("%s-%d", svc.Service, i+1), VM: docs.VMs[at%l.VMs].VM, Address: free(), Slots: l.Slots,
			})
			at++
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

// FreeAddress returns a loopback address whose port is free now.
func FreeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("no free loopback port: %v", err))
	}
	defer listener.Close()
	return listener.Addr().String()
}
