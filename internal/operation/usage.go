package operation

import (
	"fmt"

	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// usage counts entries and bytes, or a change of these counts.
type usage struct {
	entries int
	bytes   int64
}

// Stats counts what a memory holds. Bytes includes the reserve for responses of running operations.
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

// charge adds the change to the usage of the customer and of the whole memory.
func (m *Memory) charge(customer string, change usage) {
	u := m.customers[customer]
	if u == nil {
		u = &usage{}
		m.customers[customer] = u
	}
	u.entries, u.bytes = u.entries+change.entries, u.bytes+change.bytes
	m.total.entries, m.total.bytes = m.total.entries+change.entries, m.total.bytes+change.bytes
	if u.entries == 0 {
		delete(m.customers, customer)
	}
}

// exceededLimit describes the limit that need would exceed, or returns "". ofCustomer is true if it
// is the customer's own limit.
func (m *Memory) exceededLimit(customer string, need usage) (limit string, ofCustomer bool) {
	entries, bytes := m.opts.MaxEntries*m.opts.CustomerPercent/100, m.opts.MaxBytes*int64(m.opts.CustomerPercent)/100
	if u := m.customers[customer]; u != nil && (u.entries+need.entries > entries || u.bytes+need.bytes > bytes) {
		return fmt.Sprintf("operation memory of customer %s has no room: %d of %d keys and %d of %d bytes in use",
			customer, u.entries, entries, u.bytes, bytes), true
	}
	entries, bytes = m.opts.MaxEntries, m.opts.MaxBytes
	if m.total.entries+need.entries > entries || m.total.bytes+need.bytes > bytes {
		return fmt.Sprintf("operation memory has no room: %d of %d keys and %d of %d bytes in use",
			m.total.entries, entries, m.total.bytes, bytes), false
	}
	return "", false
}

// makeRoom removes entries of keys that did not run, oldest first, until need fits. Such a key may
// run again in any case, so only its binding to customer, route and body is lost. For the
// customer's own limit, only entries of the customer are removed.
func (m *Memory) makeRoom(customer string, need usage) *errkind.Error {
	for {
		limit, ofCustomer := m.exceededLimit(customer, need)
		if limit == "" {
			return nil
		}
		oldest := m.oldestNotRun(customer, ofCustomer)
		if oldest == nil {
			return MemoryFull.Error(limit)
		}
		m.remove(oldest)
	}
}

// oldestNotRun returns the oldest entry of a key that did not run, of the customer only or of all,
// or nil.
func (m *Memory) oldestNotRun(customer string, ofCustomer bool) *entry {
	for element := m.notRunEntries.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); !ofCustomer || e.request.Customer == customer {
			return e
		}
	}
	return nil
}
