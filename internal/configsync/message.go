package configsync

import (
	"sync/atomic"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// byteCounts are totals of encoded peer messages, in bytes.
type byteCounts struct{ sent, received atomic.Uint64 }

func revisionsToProto(list []Revision) []*peerapi.Revision {
	out := make([]*peerapi.Revision, len(list))
	for i, r := range list {
		out[i] = &peerapi.Revision{Name: r.Name, Revision: r.Number, Hash: r.Hash, Residue: r.Residue}
	}
	return out
}

// revisionsFromProto decodes at most maxValues entries, which is as many as a store can hold.
func revisionsFromProto(list []*peerapi.Revision) []Revision {
	list = list[:min(len(list), maxValues)]
	out := make([]Revision, len(list))
	for i, r := range list {
		out[i] = Revision{r.GetName(), r.GetRevision(), r.GetHash(), r.GetResidue()}
	}
	return out
}

// valuesFromProto decodes values with at most maxResidues residues each.
func valuesFromProto(list []*peerapi.Value) []Value {
	out := make([]Value, len(list))
	for i, v := range list {
		residues := v.GetResidues()
		out[i] = Value{
			Revision: Revision{Name: v.GetName(), Number: v.GetRevision()}, Data: v.GetData(),
			Residues: residues[:min(len(residues), maxResidues)], Carried: v.GetCarried(),
		}
	}
	return out
}

// nextValueBatch returns the values of the first names, as many as fit into one message, and the
// names left for the next one. Names that are not held are skipped.
func nextValueBatch(store *Store, names []string) (values []*peerapi.Value, rest []string) {
	size := 0
	for i, name := range names {
		v, ok := store.Get(name)
		if !ok {
			continue
		}
		if size += v.size(); size > valueBatchBytes && len(values) > 0 {
			return values, names[i:]
		}
		values = append(values, &peerapi.Value{Name: name, Revision: v.Revision.Number, Data: v.Data, Residues: v.Residues, Carried: v.Carried})
	}
	return values, nil
}

func senderFromProto(s *peerapi.Sender) membership.Sender {
	return membership.Sender{VM: s.GetVm(), Incarnation: s.GetIncarnation(), Leaving: s.GetLeaving()}
}

// encodeAge encodes the time since the last answer of the platform: 0 for no answer yet, else
// milliseconds plus one.
func encodeAge(age time.Duration, known bool) uint64 {
	if !known {
		return 0
	}
	return uint64(age.Milliseconds()) + 1
}

// decodeAge reverses encodeAge. An age of more than a year counts as no answer, which also keeps
// the duration from overflowing.
func decodeAge(ms uint64) (age time.Duration, known bool) {
	if ms == 0 || ms > uint64((365*24*time.Hour).Milliseconds()) {
		return 0, false
	}
	return time.Duration(ms-1) * time.Millisecond, true
}
