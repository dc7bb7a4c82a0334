package contract

import (
	"fmt"
	"net/netip"

	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// uniqueness finds the second use of something that may be used once.
type uniqueness struct {
	first  map[string]string
	issues strictyaml.Issues
}

func (u *uniqueness) claim(key string, doc located, path, format string, args ...any) {
	if place, taken := u.first[key]; taken {
		u.issues = append(u.issues, doc.source.Issue(path, "%s; first at %s", fmt.Sprintf(format, args...), place))
		return
	}
	u.first[key] = fmt.Sprintf("%s:%d", doc.source.File, doc.source.LineOf(path))
}

func (s *Set) crossCheck() strictyaml.Issues {
	known := map[Ref]bool{}
	for _, doc := range s.docs {
		known[doc.Ref()] = true
	}
	unique := &uniqueness{first: map[string]string{}}
	var issues strictyaml.Issues
	refer := func(doc located, path, kind, name string) {
		if name != "" && !known[Ref{kind, name}] {
			issues = append(issues, doc.source.Issue(path, "unknown %s %q", kind, name))
		}
	}
	for _, doc := range s.docs {
		if ref := doc.Ref(); ref.Name != "" {
			unique.claim("document "+ref.String(), doc, nameField(ref.Kind), "%s is defined twice", ref)
		}
		switch d := doc.Document.(type) {
		case *Contract:
			crossCheckContract(d, doc, unique, refer)
		case *Service:
			crossCheckService(d, doc, unique, refer)
		case *VM:
			refer(doc, "dataCentre", KindDataCentre, d.DataCentre)
			if d.PeerAddress != "" {
				unique.claim("address "+d.PeerAddress, doc, "peerAddress", "the address %s is used twice", d.PeerAddress)
			}
			// A loopback address of an admin listener is the same on each VM. Peer listeners must be reached by others.
			if d.AdminAddress != "" && d.AdminAddress != d.PeerAddress && !isLoopback(d.AdminAddress) {
				unique.claim("address "+d.AdminAddress, doc, "adminAddress", "the address %s is used twice", d.AdminAddress)
			}
		}
	}
	return append(issues, unique.issues...)
}

func isLoopback(address string) bool {
	place, err := netip.ParseAddrPort(address)
	return err == nil && place.Addr().IsLoopback()
}

type referFunc func(doc located, path, kind, name string)

func crossCheckContract(d *Contract, doc located, unique *uniqueness, refer referFunc) {
	for i, route := range d.Routes {
		refer(doc, fmt.Sprintf("routes[%d].service", i), KindService, route.Service)
	}
	seen := map[string]bool{}
	for i, digest := range d.APIKeySHA256 {
		if !seen[digest] {
			unique.claim("key "+digest, doc, fmt.Sprintf("apiKeySHA256[%d]", i), "the API key digest is used by two customers")
		}
		seen[digest] = true
	}
}

func crossCheckService(d *Service, doc located, unique *uniqueness, refer referFunc) {
	seen := map[string]bool{}
	for i, b := range d.BackendServers {
		path := fmt.Sprintf("backendServers[%d]", i)
		refer(doc, path+".vm", KindVM, b.VM)
		if b.ID != "" && !seen[b.ID] {
			unique.claim("backend server "+b.ID, doc, path+".id", "the backend server %q is defined twice", b.ID)
		}
		seen[b.ID] = true
		// Addresses such as 127.0.0.1:8080 repeat on each VM, so they are compared together with the VM.
		if b.Address != "" {
			unique.claim("backend address "+b.VM+" "+b.Address, doc, path+".address", "the address %s on VM %s is used by two backend servers", b.Address, b.VM)
		}
	}
}

func nameField(kind string) string {
	switch kind {
	case KindContract:
		return "customer"
	case KindService:
		return "service"
	case KindVM:
		return "vm"
	default:
		return "dataCentre"
	}
}
