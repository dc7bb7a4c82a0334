package operation

import (
	"fmt"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// usage counts entries and bytes.
type usage struct {
	entries int
	bytes   int64
}

// Stats describes the content of a memory.
type Stats struct {
	Entries   int
	Bytes     int64
	Customers int
}

// Stats returns the current counts.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{Entries: m.total.entries, Bytes: m.total.bytes, Customers: len(m.customers)}
}

func (m *Memory) charge(customer string, d usage) {
	u := m.customers[customer]
	if u == nil {
		u = &usage{}
		m.customers[customer] = u
	}
	u.entries, u.bytes = u.entries+d.entries, u.bytes+d.bytes
	m.total.entries, m.total.bytes = m.total.entries+d.entries, m.total.bytes+d.bytes
	if u.entries == 0 {
		delete(m.customers, customer)
	}
}

func (m *Memory) over(customer string, need usage) (limit string) {
	entries, bytes := m.opts.MaxEntries, m.opts.MaxBytes
	if m.total.entries+need.entries > entries || m.total.bytes+need.bytes > bytes {
		return fmt.Sprintf("operation memory holds %d of %d keys and %d of %d bytes",
			m.total.entries, entries, m.total.bytes, bytes)
	}
	entries, bytes = entries*m.opts.CustomerPercent/100, bytes*int64(m.opts.CustomerPercent)/100
	if u := m.customers[customer]; u != nil && (u.entries+need.entries > entries || u.bytes+need.bytes > bytes) {
		return fmt.Sprintf("operation memory of customer %s holds %d of %d keys and %d of %d bytes",
			customer, u.entries, entries, u.bytes, bytes)
	}
	return ""
}

// makeRoom removes entries of keys that did not run, oldest first, until need fits. Such a key may run again anyway, so its removal loses
// only its binding to customer, route and body.
func (m *Memory) makeRoom(customer string, need usage) *errkind.Error {
	for {
		limit := m.over(customer, need)
		if limit == "" {
			return nil
		}
		oldest := m.notRun.Front()
		if oldest == nil {
			return MemoryFull.Error(limit)
		}
		m.remove(oldest.Value.(*entry))
	}
}
