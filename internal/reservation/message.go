package reservation

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// Message is one request to the daemon of a VM. Its lease counts from the Tick that returned it, so it must be sent after
// that Tick and never a second time.
type Message struct {
	ID           uint64
	VM           string
	Reservations []Reservation
}

type outstanding struct {
	sent         time.Time
	skew         time.Duration
	reservations []Reservation
}

// Tick renews, replaces and starts reservations and returns the messages to send, at most one per VM. It is called a few
// times a second, and may be called at once after Want.
func (m *Manager) Tick(now time.Time) []Message {
	now = m.observe(now)
	m.lastTick = now
	m.forgetExpired(now)
	for id, o := range m.outstanding {
		if now.Sub(o.sent) >= Lease {
			delete(m.outstanding, id)
		}
	}
	var batch batches
	for _, id := range m.order {
		if w := m.locals[id].want; w != nil {
			w.plan(m.skew(now), now, func(s *sibling) { m.ask(now, w, s, &batch) })
		}
	}
	m.joinRenewals(now, &batch)
	for i := range batch.messages {
		msg := &batch.messages[i]
		m.nextMessage++
		msg.ID = m.nextMessage
		m.outstanding[msg.ID] = outstanding{sent: now, skew: m.skew(now), reservations: msg.Reservations}
	}
	return batch.messages
}

// batches collects one message per VM.
type batches struct {
	messages []Message
}

func (b *batches) find(vm string) *Message {
	for i := range b.messages {
		if b.messages[i].VM == vm {
			return &b.messages[i]
		}
	}
	return nil
}

func (b *batches) add(vm string, r Reservation) bool {
	msg := b.find(vm)
	if msg == nil {
		b.messages = append(b.messages, Message{VM: vm})
		msg = &b.messages[len(b.messages)-1]
	}
	if len(msg.Reservations) >= MaxBatch {
		return false
	}
	msg.Reservations = append(msg.Reservations, r)
	return true
}

// ask requests a reservation: from this Manager when the sibling is on the same VM, otherwise by message.
func (m *Manager) ask(now time.Time, w *want, s *sibling, b *batches) {
	r := Reservation{Requester: w.backend, Grantor: s.Backend, Service: w.service.Name, Revision: w.service.Revision}
	s.asked = now
	if s.VM == m.vm {
		if m.grant(now, r) {
			s.granted(now, m.skew(now))
		} else {
			s.fail(now, true)
		}
		return
	}
	s.waiting = b.add(s.VM, r)
}

// joinRenewals adds renewals that fall due soon to messages that are sent anyway, so that several local backend servers
// share one message a second per VM.
func (m *Manager) joinRenewals(now time.Time, b *batches) {
	for _, id := range m.order {
		w := m.locals[id].want
		if w == nil {
			continue
		}
		for i := range w.siblings {
			s := &w.siblings[i]
			soon := !s.waiting && s.failures == 0 && now.Before(s.held.until) && s.nextAsk.Sub(now) <= RenewEvery/2
			if soon && now.Before(s.nextAsk) && b.find(s.VM) != nil {
				m.ask(now, w, s, b)
			}
		}
	}
}

// Result hands in the reply to a message. A reply after the lease, after a suspension or after a change of terms counts
// for nothing.
func (m *Manager) Result(now time.Time, id uint64, granted []bool) {
	now = m.observe(now)
	o, ok := m.outstanding[id]
	if !ok {
		return
	}
	delete(m.outstanding, id)
	for i, r := range o.reservations {
		s := m.askedSibling(r)
		if s == nil {
			continue
		}
		if i < len(granted) && granted[i] {
			s.granted(o.sent, o.skew)
		} else if s.asked.Equal(o.sent) {
			s.fail(now, true)
		}
	}
}

// Failed reports that a message got no reply. The reservations may have been granted, which only binds the grantor.
func (m *Manager) Failed(now time.Time, id uint64) {
	now = m.observe(now)
	o, ok := m.outstanding[id]
	if !ok {
		return
	}
	delete(m.outstanding, id)
	for _, r := range o.reservations {
		if s := m.askedSibling(r); s != nil && s.waiting && s.asked.Equal(o.sent) {
			s.fail(now, false)
		}
	}
}

// askedSibling returns the sibling that a reservation was asked of, when its wish and its terms are still in force.
func (m *Manager) askedSibling(r Reservation) *sibling {
	l := m.locals[r.Requester]
	if l == nil || l.want == nil || l.service.Name != r.Service || l.service.Revision != r.Revision {
		return nil
	}
	for i := range l.want.siblings {
		if s := &l.want.siblings[i]; s.Backend == r.Grantor {
			return s
		}
	}
	return nil
}

// Request encodes the message for a peer.
func (msg *Message) Request(sender *peerapi.Sender) *peerapi.ReserveRequest {
	out := &peerapi.ReserveRequest{Sender: sender, LeaseMs: uint32(Lease / time.Millisecond)}
	for _, r := range msg.Reservations {
		out.Reservations = append(out.Reservations, &peerapi.Reservation{
			Requester: r.Requester, Grantor: r.Grantor, Service: r.Service, ServiceRevision: r.Revision,
		})
	}
	return out
}

// GrantRequest decides on a peer's request.
func (m *Manager) GrantRequest(now time.Time, req *peerapi.ReserveRequest, sender *peerapi.Sender) *peerapi.ReserveResponse {
	list := make([]Reservation, 0, len(req.GetReservations()))
	for _, r := range req.GetReservations() {
		list = append(list, Reservation{
			Requester: r.GetRequester(), Grantor: r.GetGrantor(), Service: r.GetService(), Revision: r.GetServiceRevision(),
		})
	}
	lease := time.Duration(req.GetLeaseMs()) * time.Millisecond
	return &peerapi.ReserveResponse{Sender: sender, Granted: m.Grant(now, lease, list)}
}
