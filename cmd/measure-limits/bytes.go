package main

import (
	"google.golang.org/protobuf/proto"

	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// messageOverhead is an estimate, in bytes, of the HTTP/2 frames and compressed headers of one
// unary message on a persistent connection.
const messageOverhead = 90

// countBytes adds a message of n bytes to the bytes of both daemons if the measurement has begun.
func (f *simulatedFleet) countBytes(from, to string, n int) {
	if f.measuring {
		f.bytesByVM[from] += n
		f.bytesByVM[to] += n
	}
}

// requestBytes returns the size of r on the wire. The incarnation is large, since real ones are
// random 64-bit numbers.
func requestBytes(r limits.Request) int {
	m := &peerapi.ShareRequest{Sender: &peerapi.Sender{Vm: r.Sender.VM, Incarnation: 1 << 63}, Sequence: r.Sequence}
	n := messageOverhead
	for _, d := range r.Demands {
		m.Demands = append(m.Demands, &peerapi.Demand{
			Customer: d.Customer, RateMilli: d.RateMilli, Concurrency: d.Concurrency, InFlight: d.InFlight,
			HeldRateMilli: d.HeldRateMilli, HeldConcurrency: d.HeldConcurrency,
		})
	}
	return n + proto.Size(m)
}

// responseBytes returns the size of r on the wire. All VM names have the same length.
func responseBytes(r limits.Response) int {
	m := &peerapi.ShareResponse{Sender: &peerapi.Sender{Vm: vmName(0), Incarnation: 1 << 63}, NotHolder: r.NotHolder}
	for _, g := range r.Grants {
		m.Grants = append(m.Grants, &peerapi.Grant{Customer: g.Customer, RateMilli: g.RateMilli, Concurrency: g.Concurrency})
	}
	return messageOverhead + proto.Size(m)
}
