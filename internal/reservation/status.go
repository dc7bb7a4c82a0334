package reservation

import "time"

// Held describes one sibling as a requester sees it.
type Held struct {
	Backend string
	VM      string
	// Remaining is the time left of the reservation, or zero.
	Remaining time.Duration
	// Refused tells that the last request was refused; with Failures above zero and no refusal the sibling was silent.
	Refused  bool
	Failures int
}

// Status describes one local backend server for operators.
type Status struct {
	Backend   string
	Service   string
	Floor     int
	Condition Condition
	// Granted is how long the backend server must still stay in service.
	Granted time.Duration
	// Wanting is how long it has wanted to leave service, or zero.
	Wanting time.Duration
	// OutFor is how long it may still be out.
	OutFor time.Duration
	// Siblings are in the order in which they are asked. It is empty without a wish to leave service.
	Siblings []Held
}

// Status returns the local backend servers in the order of the configuration.
func (m *Manager) Status(now time.Time) []Status {
	now = m.observe(now)
	out := make([]Status, 0, len(m.order))
	for _, id := range m.order {
		l := m.locals[id]
		st := Status{
			Backend: id, Service: l.service.Name, Floor: l.service.Floor, Condition: l.condition,
			Granted: max(0, m.HeldUntil(id).Sub(now)),
			OutFor:  max(0, m.OutUntil(now, id).Sub(now)),
		}
		if l.want != nil {
			st.Wanting = now.Sub(l.want.since)
			for _, s := range l.want.siblings {
				st.Siblings = append(st.Siblings, Held{
					Backend: s.Backend, VM: s.VM, Remaining: max(0, s.held.end(m.skew(now)).Sub(now)),
					Refused: s.refused, Failures: s.failures,
				})
			}
		}
		out = append(out, st)
	}
	return out
}

// Drops returns how often held reservations were dropped because the process had been suspended.
func (m *Manager) Drops() uint64 { return m.drops }
