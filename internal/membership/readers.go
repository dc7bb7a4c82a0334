package membership

import (
	"slices"
	"time"
)

const (
	// ReadersPerDataCentre is the number of daemons of a data centre that watch the platform at the
	// same time.
	ReadersPerDataCentre = 2
	// electionPeriod is the time for which readers are elected.
	electionPeriod = time.Minute
)

// Readers returns the IDs of the readers of a data centre for the minute of now, as this daemon
// sees it. They are the VMs with the highest rendezvous hash for that minute among those that the
// platform lists as live, or among all VMs of the configuration if the list is missing or empty.
// VMs that announced that they are leaving, or that do not answer this daemon, are left out.
func (m *Members) Readers(now time.Time, dataCentre string) []string {
	var candidates []string
	for _, vm := range m.Live(now) {
		if vm.DataCentre == dataCentre {
			candidates = append(candidates, vm.ID)
		}
	}
	return Rendezvous(uint64(now.UnixNano()/int64(electionPeriod)), candidates, ReadersPerDataCentre)
}

// IsReader reports whether this daemon is a reader as it sees it. Each daemon decides only for
// itself.
//
// If every view of a data centre lacks at most k of its running daemons, at most
// ReadersPerDataCentre + k daemons see themselves as readers: one of lower rank would have to lack
// k + 1 of those above it. A dead VM that is listed as live only lowers the count. Clocks that
// differ by up to a minute double the bound. A daemon that sees no other VM is a reader, so that a
// part of the fleet that is cut off stays in touch with the platform.
func (m *Members) IsReader(now time.Time) bool {
	return !m.leaving && slices.Contains(m.Readers(now, m.cfg.Self.DataCentre), m.cfg.Self.ID)
}

// Live returns the VMs that count as live, ordered by ID. The daemon itself counts unless it is
// leaving.
func (m *Members) Live(now time.Time) []VM {
	var live []VM
	selfInDirectory := false
	for _, id := range m.directory.ids {
		vm := m.directory.byID[id]
		if id == m.cfg.Self.ID {
			selfInDirectory = true
			if !m.leaving {
				live = append(live, vm)
			}
			continue
		}
		if m.eligible(now, vm) && (len(m.list) == 0 || m.list[id] == Live) {
			live = append(live, vm)
		}
	}
	if !selfInDirectory && !m.leaving {
		live = append(live, m.cfg.Self)
		slices.SortFunc(live, func(a, b VM) int { return compare(0, 0, a, b) })
	}
	return live
}

// LiveInRegion returns the IDs of the live VMs of a region, in order. The daemon that holds the
// region's share of a limit is chosen among them.
func (m *Members) LiveInRegion(now time.Time, region string) []string {
	var ids []string
	for _, vm := range m.Live(now) {
		if vm.Region == region {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// Rendezvous returns the up to n IDs with the highest hash under the key. Removing one ID does not
// change the order of the others.
func Rendezvous(key uint64, ids []string, n int) []string {
	vms := make([]VM, len(ids))
	for i, id := range ids {
		vms[i].ID = id
	}
	var chosen []string
	for _, vm := range byWeight(vms, key)[:min(n, len(vms))] {
		chosen = append(chosen, vm.ID)
	}
	return chosen
}
