package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// DefaultOwnPeers bounds the peers in the daemon's own data centre.
	DefaultOwnPeers = 8
	// DefaultOtherPeers bounds the peers in all other data centres together.
	DefaultOtherPeers = 3

	// listedFailures in a row take a listed VM out of use; fewer may be a lost packet or a restart.
	listedFailures = 3
	// answerLife is how long an answer proves an unlisted VM to be alive. It covers seven exchanges of 4 s.
	answerLife = 30 * time.Second
	// firstRetry and lastRetry bound the doubling wait before a failing VM is tried again. The upper bound is the time
	// that a healed partition can stay unnoticed.
	firstRetry = 4 * time.Second
	lastRetry  = 16 * time.Second
	// cacheLife bounds how long a chosen peer set is kept without a new choice.
	cacheLife = time.Second
)

// VM is a VM with what is needed to reach and place it. A seed peer has only an address.
type VM struct {
	ID         string
	DataCentre string
	Region     string
	// Address is the host:port of the listener for other daemons.
	Address string
}

// Directory holds the VMs of one revision of the configuration. It does not change and can be shared.
type Directory struct {
	byID    map[string]VM
	ids     []string
	regions map[string]string
}

// NewDirectory returns a directory of the VMs. Of two VMs with the same ID the last one counts.
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

// The states.
const (
	Unlisted State = iota
	Live
	Leaving
)

// Config of New.
type Config struct {
	// Self is the daemon's own VM, from the settings.
	Self VM
	// Seeds are addresses of peers to use before the configuration names any.
	Seeds []string
	// OwnPeers and OtherPeers bound the peer set. Defaults: DefaultOwnPeers and DefaultOtherPeers.
	OwnPeers, OtherPeers int
	// Salt draws the random part of the peer set. It should differ between processes.
	Salt uint64
}

// Members is the view of one daemon.
type Members struct {
	cfg       Config
	directory *Directory
	list      map[string]State
	leaving   bool
	evidence  map[string]*evidence

	peers      []VM
	peersUntil time.Time
}

// evidence is what one VM, or one seed address, showed by itself.
type evidence struct {
	answered    time.Time
	failures    int
	retryAt     time.Time
	leaving     bool
	incarnation uint64
}

// New returns a view without any VM of the configuration.
func New(cfg Config) *Members {
	if cfg.OwnPeers <= 0 {
		cfg.OwnPeers = DefaultOwnPeers
	}
	if cfg.OtherPeers <= 0 {
		cfg.OtherPeers = DefaultOtherPeers
	}
	return &Members{cfg: cfg, directory: NewDirectory(nil), evidence: map[string]*evidence{}}
}

// Self returns the daemon's own VM.
func (m *Members) Self() VM { return m.cfg.Self }

// SetDirectory replaces the VMs of the configuration.
func (m *Members) SetDirectory(d *Directory) {
	m.directory = d
	for key := range m.evidence {
		if _, known := d.byID[key]; !known && !m.isSeed(key) {
			delete(m.evidence, key)
		}
	}
	m.peersUntil = time.Time{}
}

// SetList replaces the platform's list of live and leaving VMs. The map must not change afterwards.
func (m *Members) SetList(list map[string]State) {
	m.list = list
	m.peersUntil = time.Time{}
}

// SetLeaving records that this daemon is leaving, which ends its election as a reader.
func (m *Members) SetLeaving(leaving bool) { m.leaving = leaving }

// IsLeaving reports whether this daemon is leaving.
func (m *Members) IsLeaving() bool { return m.leaving }

// Listed returns the state of a VM in the platform's list.
func (m *Members) Listed(id string) State { return m.list[id] }

// Lookup returns the VM of the configuration with the ID.
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

// Answered records that a call to a peer was answered. The sender may be another VM than the peer that was called, when an
// address changed hands.
func (m *Members) Answered(now time.Time, peer VM, sender Sender) {
	e := m.evidenceOf(key(peer))
	e.failures = 0
	e.answered = now
	m.Heard(now, sender)
}

// Heard records a call from another daemon. It proves that the VM lives, but not that calls to it get through: partitions
// are often one-way.
func (m *Members) Heard(now time.Time, sender Sender) {
	if _, known := m.directory.byID[sender.VM]; !known || sender.VM == m.cfg.Self.ID {
		return
	}
	e := m.evidenceOf(sender.VM)
	if e.leaving != sender.Leaving || e.incarnation != sender.Incarnation {
		m.peersUntil = time.Time{}
	}
	e.answered = now
	e.leaving = sender.Leaving
	e.incarnation = sender.Incarnation
	if e.failures > 0 && e.retryAt.After(now.Add(firstRetry)) {
		e.retryAt = now.Add(firstRetry)
	}
}

// Failed records that a call to a peer was not answered.
func (m *Members) Failed(now time.Time, peer VM) {
	e := m.evidenceOf(key(peer))
	e.failures++
	over := min(max(e.failures-m.allowedFailures(peer.ID), 0), 8)
	e.retryAt = now.Add(min(firstRetry<<over, lastRetry))
	m.peersUntil = time.Time{}
}

// allowedFailures returns how many failures in a row take the VM out of use.
func (m *Members) allowedFailures(id string) int {
	if m.list != nil && m.list[id] != Live {
		return 1
	}
	return listedFailures
}

func key(vm VM) string {
	if vm.ID == "" {
		return vm.Address
	}
	return vm.ID
}

func (m *Members) isSeed(address string) bool { return slices.Contains(m.cfg.Seeds, address) }

func (m *Members) evidenceOf(key string) *evidence {
	e := m.evidence[key]
	if e == nil {
		e = &evidence{}
		m.evidence[key] = e
	}
	return e
}

// failing reports whether calls to the VM fail and its next try is not due.
func (m *Members) failing(now time.Time, vm VM) bool {
	e := m.evidence[key(vm)]
	return e != nil && e.failures >= m.allowedFailures(vm.ID) && now.Before(e.retryAt)
}

// usable reports whether the views together call for using the VM.
func (m *Members) usable(now time.Time, vm VM) bool {
	e := m.evidence[vm.ID]
	if !m.possible(now, vm) {
		return false
	}
	if m.list == nil || m.list[vm.ID] == Live {
		return true
	}
	return e != nil && !e.answered.IsZero() && now.Sub(e.answered) < answerLife
}

// possible reports whether nothing that the VM itself showed speaks against using it.
func (m *Members) possible(now time.Time, vm VM) bool {
	e := m.evidence[vm.ID]
	return vm.ID != m.cfg.Self.ID && vm.Address != "" && (e == nil || !e.leaving) && !m.failing(now, vm)
}

// Status is a summary for operators.
type Status struct {
	// VMs of the configuration, and those of the platform's list by state.
	Known, ListedLive, ListedLeaving int
	// Peers are the IDs, or for seeds the addresses, of the peer set.
	Peers []string
	// Failing are the IDs or addresses that do not answer.
	Failing []string
	// Readers are the readers of the own data centre by this daemon's view.
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
		s.Peers = append(s.Peers, key(vm))
	}
	for name, e := range m.evidence {
		if e.failures > 0 {
			s.Failing = append(s.Failing, name)
		}
	}
	slices.SortFunc(s.Failing, strings.Compare)
	return s
}
