package reservation

import (
	"time"

	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// Message is one request to the daemon of a VM. Its lease counts from the Tick that returned it. It
// must therefore be sent after that Tick, and only once.
type Message struct {
	ID           uint64
	VM           string
	Reservations []Reservation
}

// sentMessage is a message without a reply so far. skew is clockSkew when it was sent.
type sentMessage struct {
	sentAt       time.Time
	skew         time.Duration
	reservations []Reservation
}

// Tick renews, replaces and requests reservations. It returns the messages to send, at most one per
// VM. Call it a few times a second; it may also be called right after RequestOut.
func (m *Manager) Tick(now time.Time) []Message {
	now = m.observeTime(now)
	m.lastTick = now
	m.deleteExpired(now)
	for id, o := range m.outstanding {
		if now.Sub(o.sentAt) >= Lease {
			delete(m.outstanding, id)
		}
	}
	var batch messageBatch
	for _, id := range m.localOrder {
		if w := m.locals[id].outRequest; w != nil {
			w.askDueSiblings(m.clockSkew(now), now, func(s *sibling) { m.askSibling(now, w, s, &batch) })
		}
	}
	m.addRenewalsDueSoon(now, &batch)
	for i := range batch.messages {
		msg := &batch.messages[i]
		m.nextMessage++
		msg.ID = m.nextMessage
		m.outstanding[msg.ID] = sentMessage{sentAt: now, skew: m.clockSkew(now), reservations: msg.Reservations}
	}
	return batch.messages
}

// messageBatch collects one message per VM.
type messageBatch struct {
	messages []Message
}

// messageTo returns the message to a VM, or nil.
func (b *messageBatch) messageTo(vm string) *Message {
	for i := range b.messages {
		if b.messages[i].VM == vm {
			return &b.messages[i]
		}
	}
	return nil
}

// add adds a reservation to the message to a VM. It returns false when that message is full.
func (b *messageBatch) add(vm string, r Reservation) bool {
	msg := b.messageTo(vm)
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

// askSibling requests a reservation. A sibling on the same VM is asked directly, any other by
// message.
func (m *Manager) askSibling(now time.Time, w *outRequest, s *sibling, b *messageBatch) {
	r := Reservation{Requester: w.backend, Grantor: s.Backend, Service: w.service.Name, Revision: w.service.Revision}
	s.askedAt = now
	if s.VM == m.vm {
		if m.decide(now, r) {
			s.recordGrant(now, m.clockSkew(now))
		} else {
			s.recordFailure(now, true)
		}
		return
	}
	s.awaitingReply = b.add(s.VM, r)
}

// addRenewalsDueSoon adds renewals that are due soon to messages that are sent anyway. Several
// local backend servers thus share one message a second per VM.
func (m *Manager) addRenewalsDueSoon(now time.Time, b *messageBatch) {
	for _, id := range m.localOrder {
		w := m.locals[id].outRequest
		if w == nil {
			continue
		}
		for i := range w.siblings {
			s := &w.siblings[i]
			dueSoon := !s.awaitingReply && s.failures == 0 && now.Before(s.held.until) && s.nextAskAt.Sub(now) <= RenewInterval/2
			if dueSoon && now.Before(s.nextAskAt) && b.messageTo(s.VM) != nil {
				m.askSibling(now, w, s, b)
			}
		}
	}
}

// Result records the reply to a message. A reply is ignored when it arrives after the lease, after
// a suspension of the process or after a change of terms.
func (m *Manager) Result(now time.Time, id uint64, granted []bool) {
	now = m.observeTime(now)
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
			s.recordGrant(o.sentAt, o.skew)
		} else if s.askedAt.Equal(o.sentAt) {
			s.recordFailure(now, true)
		}
	}
}

// Failed records that a message got no reply. The reservations may have been granted, but that
// binds only the grantor.
func (m *Manager) Failed(now time.Time, id uint64) {
	now = m.observeTime(now)
	o, ok := m.outstanding[id]
	if !ok {
		return
	}
	delete(m.outstanding, id)
	for _, r := range o.reservations {
		if s := m.askedSibling(r); s != nil && s.awaitingReply && s.askedAt.Equal(o.sentAt) {
			s.recordFailure(now, false)
		}
	}
}

// askedSibling returns the sibling that a reservation was requested from. It returns nil when the
// requester no longer wants to leave service, or when the terms have changed.
func (m *Manager) askedSibling(r Reservation) *sibling {
	l := m.locals[r.Requester]
	if l == nil || l.outRequest == nil || l.service.Name != r.Service || l.service.Revision != r.Revision {
		return nil
	}
	for i := range l.outRequest.siblings {
		if s := &l.outRequest.siblings[i]; s.Backend == r.Grantor {
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

// GrantRequest decodes a peer's request, decides on it with Grant and encodes the response.
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
