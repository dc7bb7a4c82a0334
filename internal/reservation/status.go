package reservation

import "time"

// SiblingStatus describes one sibling as a requester sees it, for operators.
type SiblingStatus struct {
	Backend string
	VM      string
	// Remaining is the time left of the held reservation, or zero.
	Remaining time.Duration
	// Refused is set when the last request was refused. When it is not set and Failures is above
	// zero, the last request got no reply.
	Refused  bool
	Failures int
}

// Status describes one local backend server, for operators.
type Status struct {
	Backend   string
	Service   string
	Floor     int
	Condition Condition
	// Granted is how long the backend server must still stay in service.
	Granted time.Duration
	// Wanting is how long ago the request to leave service began, or zero without one.
	Wanting time.Duration
	// OutFor is how long the backend server may still be out.
	OutFor time.Duration
	// Siblings are in the order in which they are asked. It is empty without a request to leave
	// service.
	Siblings []SiblingStatus
}

// Status returns the state of the local backend servers in the order of the configuration.
func (m *Manager) Status(now time.Time) []Status {
	now = m.observeTime(now)
	out := make([]Status, 0, len(m.localOrder))
	for _, id := range m.localOrder {
		l := m.locals[id]
		st := Status{
			Backend: id, Service: l.service.Name, Floor: l.service.Floor, Condition: l.condition,
			Granted: max(0, m.HeldUntil(id).Sub(now)),
			OutFor:  max(0, m.OutUntil(now, id).Sub(now)),
		}
		if l.outRequest != nil {
			st.Wanting = now.Sub(l.outRequest.since)
			for _, s := range l.outRequest.siblings {
				st.Siblings = append(st.Siblings, SiblingStatus{
					Backend: s.Backend, VM: s.VM, Remaining: max(0, s.held.expiry(m.clockSkew(now)).Sub(now)),
					Refused: s.refused, Failures: s.failures,
				})
			}
		}
		out = append(out, st)
	}
	return out
}

// Drops returns how often held reservations or unanswered requests were dropped because the process
// had been suspended.
func (m *Manager) Drops() uint64 { return m.suspensionDrops }
