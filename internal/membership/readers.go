package membership

import (
	"slices"
	"time"
)

const (
	// ReadersPerDataCentre hold a watch at the platform at the same time.
	ReadersPerDataCentre = 2
	// term is the time for which readers are elected.
	term = time.Minute
)

// Readers returns the readers of a data centre for the minute of now, by this daemon's view: the VMs with the highest
// rendezvous hash of the minute among those that the platform lists as live. Without a list, all VMs of the configuration
// count. VMs that announced that they leave, or that do not answer this daemon, do not count.
func (m *Members) Readers(now time.Time, dataCentre string) []string {
	var candidates []string
	for _, vm := range m.Live(now) {
		if vm.DataCentre == dataCentre {
			candidates = append(candidates, vm.ID)
		}
	}
	return Rendezvous(uint64(now.UnixNano()/int64(term)), candidates, ReadersPerDataCentre)
}

// IsReader reports whether this daemon is a reader by its own view. Each daemon decides only for itself. When every view of
// a data centre lacks at most k of its daemons that run, at most ReadersPerDataCentre + k daemons see themselves as readers:
// one of lower rank would have to lack k + 1 of those above it. A VM listed as live that is dead only lowers the count.
// Clocks that differ by up to a minute double the bound. A daemon that sees no other VM is a reader, which keeps a part that
// is cut off in touch with the platform.
func (m *Members) IsReader(now time.Time) bool {
	return !m.leaving && slices.Contains(m.Readers(now, m.cfg.Self.DataCentre), m.cfg.Self.ID)
}

// Live returns the VMs that count as live, by ID. The daemon itself always counts unless it is leaving.
func (m *Members) Live(now time.Time) []VM {
	var live []VM
	self := false
	for _, id := range m.directory.ids {
		vm := m.directory.byID[id]
		if id == m.cfg.Self.ID {
			self = true
			if !m.leaving {
				live = append(live, vm)
			}
			continue
		}
		if m.possible(now, vm) && (len(m.list) == 0 || m.list[id] == Live) {
			live = append(live, vm)
		}
	}
	if !self && !m.leaving {
		live = append(live, m.cfg.Self)
		slices.SortFunc(live, func(a, b VM) int { return compare(0, 0, a, b) })
	}
	return live
}

// LiveInRegion returns the IDs of the live VMs of a region. The holder of a limit's share is chosen among them.
func (m *Members) LiveInRegion(now time.Time, region string) []string {
	var ids []string
	for _, vm := range m.Live(now) {
		if vm.Region == region {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Rendezvous returns the n IDs with the highest hash under the number. Removing an ID moves no other ID's place.
func Rendezvous(number uint64, ids []string, n int) []string {
	vms := make([]VM, len(ids))
	for i, id := range ids {
		vms[i].ID = id
	}
	var chosen []string
	for _, vm := range byWeight(vms, number)[:min(n, len(vms))] {
		chosen = append(chosen, vm.ID)
	}
	return chosen
}
