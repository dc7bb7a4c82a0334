package home

import (
	"fmt"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
)

// member is a backend server of this VM.
type member struct {
	id      string
	service string
	address string
	slots   *slots
}

func newMember(b *catalog.BackendServer) *member {
	return &member{id: b.ID, service: b.Service, address: b.Address, slots: newSlots(b.Slots)}
}

// state returns the value of the Cowslip-State header.
func (m *member) state(draining bool) string {
	inFlight, waiting, limit := m.slots.load()
	mode := "active"
	if draining {
		mode = "draining"
	}
	return fmt.Sprintf("inflight=%d;slots=%d;mode=%s", inFlight+waiting, limit, mode)
}

func (m *member) observe(*exchange, error) {}
