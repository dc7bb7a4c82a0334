package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// DefaultOwnPeers bounds the number of peers in the daemon's own data centre.
	DefaultOwnPeers = 8
	// DefaultOtherPeers bounds the number of peers in all other data centres together.
	DefaultOtherPeers = 3

	// listedFailureLimit is the number of failed calls in a row that takes a listed VM out of use.
	// Fewer may be a lost packet or a restart.
	listedFailureLimit = 3
	// answerTTL is how long an answer shows that an unlisted VM is alive. It covers seven
	// exchanges, which are 4 s apart.
	answerTTL = 30 * time.Second
	// initialRetryDelay and maxRetryDelay bound the delay before a VM that is out of use is tried
	// again. The delay doubles with each failure. Its upper bound is also how long a partition can
	// go unnoticed after it has healed.
	initialRetryDelay = 4 * time.Second
	maxRetryDelay     = 16 * time.Second
	// peerCacheTTL bounds how long a chosen peer set is kept.
	peerCacheTTL = time.Second
)

// VM is what is needed to reach and place a VM. A seed peer has only an address.
type VM struct {
	ID         string
	DataCentre string
	Region     string
	// Address is the host:port of the listener for other daemons.
	Address string
}

// Directory holds the VMs of one revision of the configuration. It is immutable and can be shared
// between goroutines.
type Directory struct {
	byID    map[string]VM
	ids     []string
	regions map[string]string
}

// NewDirectory returns a directory of the VMs. If two VMs have the same ID, the last one counts.
func NewDirectory(vms []VM) *Directory {
	d := &Directory{byID: make(map[string]VM, len(vms)), regions: map[string]string{}}
	for _, vm := range vms {
		if _, known := d.byID[vm.ID]; !known {
			d.ids = append(d.ids, vm.ID)
		}
		d.byID[vm.ID] = vm
		d.regions[vm.DataCentre] = vm.Region
	}
	slices.Sort(d.ids)
	return d
}

// State is the state of a VM in the platform's list.
type State uint8

// States of a VM in the platform's list. Unlisted is the state of all VMs that the list lacks.
const (
	Unlisted State = iota
	Live
	Leaving
)

// Config holds the settings of New.
type Config struct {
	// Self is the daemon's own VM, from the settings.
	Self VM
	// Seeds are addresses of peers that are used while too few VMs of the configuration are.
	Seeds []string
	// OwnPeers and OtherPeers bound the peer set in the own data centre and in all others. Values
	// of 0 or less mean DefaultOwnPeers and DefaultOtherPeers.
	OwnPeers, OtherPeers int
	// Salt seeds the random part of the peer set. It should differ between processes.
	Salt uint64
}

// Members is one daemon's view of all others. A VM is usable while it is listed as live, or has
// answered within answerTTL; without a list all VMs of the configuration count as listed. A VM goes
// out of use when it announces that it is leaving, and for a retry delay after too many failed
// calls in a row.
type Members struct {
	cfg          Config
	directory    *Directory
	list         map[string]State
	leaving      bool
	observations map[string]*observation

	peers           []VM
	peersValidUntil time.Time
}

// observation is what calls to and from one VM, or one seed address, have shown.
type observation struct {
	lastAnswer  time.Time
	failures    int
	retryAt     time.Time
	leaving     bool
	incarnation uint64
}

// New returns a view that knows no VM but the daemon's own one and the seeds.
func New(cfg Config) *Members {
	if cfg.OwnPeers <= 0 {
		cfg.OwnPeers = DefaultOwnPeers
	}
	if cfg.OtherPeers <= 0 {
		cfg.OtherPeers = DefaultOtherPeers
	}
	return &Members{cfg: cfg, directory: NewDirectory(nil), observations: map[string]*observation{}}
}

// Self returns the daemon's own VM.
func (m *Members) Self() VM { return m.cfg.Self }

// SetDirectory replaces the VMs of the configuration and forgets what was observed of VMs that are
// gone.
func (m *Members) SetDirectory(d *Directory) {
	m.directory = d
	for key := range m.observations {
		if _, known := d.byID[key]; !known && !m.isSeed(key) {
			delete(m.observations, key)
		}
	}
	m.peersValidUntil = time.Time{}
}

// SetList replaces the platform's list of live and leaving VMs. The map must not change afterwards.
func (m *Members) SetList(list map[string]State) {
	m.list = list
	m.peersValidUntil = time.Time{}
}

// SetLeaving sets whether this daemon is leaving. A leaving daemon does not elect itself as a
// reader.
func (m *Members) SetLeaving(leaving bool) { m.leaving = leaving }

// IsLeaving reports whether this daemon is leaving.
func (m *Members) IsLeaving() bool { return m.leaving }

// Listed returns the state of a VM in the platform's list, Unlisted while there is no list.
func (m *Members) Listed(id string) State { return m.list[id] }

// Lookup returns the VM of the configuration with the ID, and false if there is none.
func (m *Members) Lookup(id string) (VM, bool) {
	vm, ok := m.directory.byID[id]
	return vm, ok
}

// RegionOf returns the region of a data centre, or "" when the configuration does not name it.
func (m *Members) RegionOf(dataCentre string) string { return m.directory.regions[dataCentre] }

// IsOwnRegion reports whether the VM is in the daemon's own region.
func (m *Members) IsOwnRegion(vm VM) bool { return vm.Region == m.cfg.Self.Region }

// Sender is what a message says about the daemon that sent it.
type Sender struct {
	VM          string
	Incarnation uint64
	Leaving     bool
}

// Answered records that a call to a peer was answered. If an address has passed to another VM, the
// sender is not the peer that was called.
func (m *Members) Answered(now time.Time, peer VM, sender Sender) {
	o := m.observationOf(peerKey(peer))
	o.failures = 0
	o.lastAnswer = now
	m.Heard(now, sender)
}

// Heard records a call from another daemon. It proves that the VM is alive, but not that calls to
// it get through, because partitions are often one-way.
func (m *Members) Heard(now time.Time, sender Sender) {
	if _, known := m.directory.byID[sender.VM]; !known || sender.VM == m.cfg.Self.ID {
		return
	}
	o := m.observationOf(sender.VM)
	if o.leaving != sender.Leaving || o.incarnation != sender.Incarnation {
		m.peersValidUntil = time.Time{}
	}
	o.lastAnswer = now
	o.leaving = sender.Leaving
	o.incarnation = sender.Incarnation
	if o.failures > 0 && o.retryAt.After(now.Add(initialRetryDelay)) {
		o.retryAt = now.Add(initialRetryDelay)
	}
}

// Failed records that a call to a peer was not answered.
func (m *Members) Failed(now time.Time, peer VM) {
	o := m.observationOf(peerKey(peer))
	o.failures++
	excess := min(max(o.failures-m.failureLimit(peer.ID), 0), 8)
	o.retryAt = now.Add(min(initialRetryDelay<<excess, maxRetryDelay))
	m.peersValidUntil = time.Time{}
}

// failureLimit returns the number of failed calls in a row that takes the VM out of use.
func (m *Members) failureLimit(id string) int {
	if m.list != nil && m.list[id] != Live {
		return 1
	}
	return listedFailureLimit
}

func peerKey(vm VM) string {
	if vm.ID == "" {
		return vm.Address
	}
	return vm.ID
}

func (m *Members) isSeed(address string) bool { return slices.Contains(m.cfg.Seeds, address) }

func (m *Members) observationOf(key string) *observation {
	o := m.observations[key]
	if o == nil {
		o = &observation{}
		m.observations[key] = o
	}
	return o
}

// failing reports whether the VM is out of use because calls to it failed, and its next try is not
// due.
func (m *Members) failing(now time.Time, vm VM) bool {
	o := m.observations[peerKey(vm)]
	return o != nil && o.failures >= m.failureLimit(vm.ID) && now.Before(o.retryAt)
}

// usable reports whether the VM may be a peer: it is eligible, and listed as live or shown to be
// alive by an answer.
func (m *Members) usable(now time.Time, vm VM) bool {
	o := m.observations[vm.ID]
	if !m.eligible(now, vm) {
		return false
	}
	if m.list == nil || m.list[vm.ID] == Live {
		return true
	}
	return o != nil && !o.lastAnswer.IsZero() && now.Sub(o.lastAnswer) < answerTTL
}

// eligible reports whether the VM has an address and neither announced that it is leaving nor
// fails. Whether it is listed does not matter.
func (m *Members) eligible(now time.Time, vm VM) bool {
	o := m.observations[vm.ID]
	return vm.ID != m.cfg.Self.ID && vm.Address != "" && (o == nil || !o.leaving) && !m.failing(now, vm)
}

// Status is a summary for operators.
type Status struct {
	// Known counts the VMs of the configuration, ListedLive and ListedLeaving those of the
	// platform's list.
	Known, ListedLive, ListedLeaving int
	// Peers are the IDs of the peer set, or the addresses for seeds.
	Peers []string
	// Failing are the IDs, or the addresses for seeds, whose latest call failed, in order.
	Failing []string
	// Readers are the elected readers of the own data centre, as this daemon sees it.
	Readers []string
}

// Status returns the summary.
func (m *Members) Status(now time.Time) Status {
	s := Status{Known: len(m.directory.ids), Readers: m.Readers(now, m.cfg.Self.DataCentre)}
	for _, state := range m.list {
		if state == Live {
			s.ListedLive++
		} else if state == Leaving {
			s.ListedLeaving++
		}
	}
	for _, vm := range m.Peers(now) {
		s.Peers = append(s.Peers, peerKey(vm))
	}
	for name, o := range m.observations {
		if o.failures > 0 {
			s.Failing = append(s.Failing, name)
		}
	}
	slices.SortFunc(s.Failing, strings.Compare)
	return s
}
