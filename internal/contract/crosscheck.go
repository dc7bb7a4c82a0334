package contract

import (
	"fmt"
	"net/netip"

	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// uniqueIndex reports keys, such as names and addresses, that are used more than once.
type uniqueIndex struct {
	firstUse map[string]string // file:line of the first use, by key
	issues   strictyaml.Issues
}

// register records a use of a key at a field of a document. If the key was used before, it adds an
// issue with the message and the position of the first use.
func (u *uniqueIndex) register(key string, doc parsedDocument, path, format string, args ...any) {
	if firstAt, taken := u.firstUse[key]; taken {
		u.issues = append(u.issues, doc.source.Issue(path, "%s; first at %s", fmt.Sprintf(format, args...), firstAt))
		return
	}
	u.firstUse[key] = fmt.Sprintf("%s:%d", doc.source.File, doc.source.LineOf(path))
}

// crossCheck returns references to undefined documents, and duplicate documents, identifiers and
// addresses.
func (s *Set) crossCheck() strictyaml.Issues {
	defined := map[Ref]bool{}
	for _, doc := range s.docs {
		defined[doc.Ref()] = true
	}
	unique := &uniqueIndex{firstUse: map[string]string{}}
	var issues strictyaml.Issues
	requireDefined := func(doc parsedDocument, path, kind, name string) {
		if name != "" && !defined[Ref{kind, name}] {
			issues = append(issues, doc.source.Issue(path, "unknown %s %q", kind, name))
		}
	}
	for _, doc := range s.docs {
		if ref := doc.Ref(); ref.Name != "" {
			unique.register("document "+ref.String(), doc, nameField(ref.Kind), "%s is defined twice", ref)
		}
		switch d := doc.Document.(type) {
		case *Contract:
			crossCheckContract(d, doc, unique, requireDefined)
		case *Service:
			crossCheckService(d, doc, unique, requireDefined)
		case *VM:
			requireDefined(doc, "dataCentre", KindDataCentre, d.DataCentre)
			if d.PeerAddress != "" {
				unique.register("address "+d.PeerAddress, doc, "peerAddress", "the address %s is used twice", d.PeerAddress)
			}
			// Admin listeners of different VMs may use the same loopback address. A peer listener
			// must be reachable from other VMs, so its address is always compared.
			if d.AdminAddress != "" && d.AdminAddress != d.PeerAddress && !isLoopback(d.AdminAddress) {
				unique.register("address "+d.AdminAddress, doc, "adminAddress", "the address %s is used twice", d.AdminAddress)
			}
		}
	}
	return append(issues, unique.issues...)
}

func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}

// requireDefinedFunc reports an issue at a field that refers to a document which the set lacks.
type requireDefinedFunc func(doc parsedDocument, path, kind, name string)

func crossCheckContract(d *Contract, doc parsedDocument, unique *uniqueIndex, requireDefined requireDefinedFunc) {
	for i, route := range d.Routes {
		requireDefined(doc, fmt.Sprintf("routes[%d].service", i), KindService, route.Service)
	}
	seen := map[string]bool{}
	for i, digest := range d.APIKeySHA256 {
		if !seen[digest] {
			unique.register("key "+digest, doc, fmt.Sprintf("apiKeySHA256[%d]", i), "the API key digest is used by two customers")
		}
		seen[digest] = true
	}
}

func crossCheckService(d *Service, doc parsedDocument, unique *uniqueIndex, requireDefined requireDefinedFunc) {
	seen := map[string]bool{}
	for i, b := range d.BackendServers {
		path := fmt.Sprintf("backendServers[%d]", i)
		requireDefined(doc, path+".vm", KindVM, b.VM)
		if b.ID != "" && !seen[b.ID] {
			unique.register("backend server "+b.ID, doc, path+".id", "the backend server %q is defined twice", b.ID)
		}
		seen[b.ID] = true
		// Backend servers on different VMs may use the same loopback address, such as
		// 127.0.0.1:8080, so addresses are compared together with the VM.
		if b.Address != "" {
			unique.register("backend address "+b.VM+" "+b.Address, doc, path+".address", "the address %s on VM %s is used by two backend servers", b.Address, b.VM)
		}
	}
}

// nameField returns the field that holds the name of a document of the kind.
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
