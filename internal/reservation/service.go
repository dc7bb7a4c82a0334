package reservation

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// Member is a backend server of a service, with the VM whose daemon is its home.
type Member struct {
	Backend string
	VM      string
}

// Service holds the terms of a service. It must not be changed after it was passed to Configure.
type Service struct {
	Name string
	// Revision identifies the terms. Equal revisions mean the same members on the same VMs and the
	// same floor.
	Revision uint64
	// Floor is the number of backend servers that ejections must leave in service.
	Floor   int
	Members []Member
}

// revisionBits keeps the revision within seven bytes of a protobuf varint.
const revisionBits = 49

// FromCatalog returns the terms of a service. The revision is a digest of the floor and the
// members, not the platform's revision. The platform's revision changes with every service of the
// same bucket. Each such change would end the ejections of all of them until every home had it.
func FromCatalog(s *catalog.Service) *Service {
	out := &Service{Name: s.Name, Floor: s.Floor}
	for _, b := range s.BackendServers {
		out.Members = append(out.Members, Member{Backend: b.ID, VM: b.VM.ID})
	}
	slices.SortFunc(out.Members, func(a, b Member) int { return cmp.Compare(a.Backend, b.Backend) })
	terms := binary.AppendUvarint(nil, uint64(out.Floor))
	for _, m := range out.Members {
		for _, part := range []string{m.Backend, m.VM} {
			terms = binary.AppendUvarint(terms, uint64(len(part)))
			terms = append(terms, part...)
		}
	}
	sum := sha256.Sum256(terms)
	out.Revision = binary.BigEndian.Uint64(sum[:]) >> (64 - revisionBits)
	return out
}

// siblings returns the other members, ordered by a rendezvous hash of service and backend server.
// The order is the same for every requester. The sets of siblings asked therefore overlap, and
// several backend servers can be out at once.
func (s *Service) siblings(backend string) []sibling {
	var out []sibling
	for _, m := range s.Members {
		if m.Backend != backend {
			out = append(out, sibling{Member: m, rank: rank(s.Name, m.Backend)})
		}
	}
	slices.SortFunc(out, func(a, b sibling) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Backend, b.Backend))
	})
	return out
}

func rank(service, backend string) uint64 {
	sum := sha256.Sum256([]byte(service + "\x00" + backend))
	return binary.BigEndian.Uint64(sum[:])
}
