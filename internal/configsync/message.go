package configsync

import (
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// byteCounts are totals of message bytes.
type byteCounts struct{ sent, received atomic.Uint64 }

func toRevisions(list []Revision) []*peerapi.Revision {
	out := make([]*peerapi.Revision, len(list))
	for i, r := range list {
		out[i] = &peerapi.Revision{Name: r.Name, Revision: r.Revision, Hash: r.Hash, Residue: r.Residue}
	}
	return out
}

// fromRevisions takes over at most as many entries as a store can hold.
func fromRevisions(list []*peerapi.Revision) []Revision {
	list = list[:min(len(list), maxValues)]
	out := make([]Revision, len(list))
	for i, r := range list {
		out[i] = Revision{r.GetName(), r.GetRevision(), r.GetHash(), r.GetResidue()}
	}
	return out
}

func fromValues(list []*peerapi.Value) []Value {
	out := make([]Value, len(list))
	for i, v := range list {
		residues := v.GetResidues()
		out[i] = Value{
			Revision: Revision{Name: v.GetName(), Revision: v.GetRevision()}, Data: v.GetData(),
			Residues: residues[:min(len(residues), maxResidues)], Carried: v.GetCarried(),
		}
	}
	return out
}

// takeValues returns the values of the first names, as many as fit into one message, and the names left.
func takeValues(store *Store, names []string) (values []*peerapi.Value, rest []string) {
	size := 0
	for i, name := range names {
		v, ok := store.Get(name)
		if !ok {
			continue
		}
		if size += v.size(); size > valuesBytes && len(values) > 0 {
			return values, names[i:]
		}
		values = append(values, &peerapi.Value{Name: name, Revision: v.Revision.Revision, Data: v.Data, Residues: v.Residues, Carried: v.Carried})
	}
	return values, nil
}

func fromSender(s *peerapi.Sender) membership.Sender {
	return membership.Sender{VM: s.GetVm(), Incarnation: s.GetIncarnation(), Leaving: s.GetLeaving()}
}

// toAge encodes the age of the platform's last answer: 0 for never, else milliseconds plus one.
func toAge(age time.Duration, ever bool) uint64 {
	if !ever {
		return 0
	}
	return uint64(age.Milliseconds()) + 1
}

func fromAge(ms uint64) (age time.Duration, ever bool) {
	if ms == 0 || ms > uint64((365*24*time.Hour).Milliseconds()) {
		return 0, false
	}
	return time.Duration(ms-1) * time.Millisecond, true
}
