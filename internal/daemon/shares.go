package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/limits"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// shareTimeout bounds a request for shares. A later response would arrive when the next request has
// already been sent.
const shareTimeout = time.Second

// Share grants shares of those limits that this daemon holds.
func (h *controlHandler) Share(_ context.Context, req *connect.Request[peerapi.ShareRequest]) (*connect.Response[peerapi.ShareResponse], error) {
	response := h.daemon.grantShares(decodeShareRequest(req.Msg))
	msg := &peerapi.ShareResponse{NotHolder: response.NotHolder}
	for _, g := range response.Grants {
		msg.Grants = append(msg.Grants, &peerapi.Grant{Customer: g.Customer, RateMilli: g.RateMilli, Concurrency: g.Concurrency})
	}
	return connect.NewResponse(msg), nil
}

// decodeShareRequest converts a request for shares from its wire format.
func decodeShareRequest(msg *peerapi.ShareRequest) limits.Request {
	request := limits.Request{
		Sender:   limits.Sender{VM: msg.GetSender().GetVm(), Incarnation: msg.GetSender().GetIncarnation()},
		Sequence: msg.GetSequence(),
	}
	for _, demand := range msg.GetDemands() {
		request.Demands = append(request.Demands, limits.Demand{
			Customer: demand.GetCustomer(), RateMilli: demand.GetRateMilli(), Concurrency: demand.GetConcurrency(), InFlight: demand.GetInFlight(),
			HeldRateMilli: demand.GetHeldRateMilli(), HeldConcurrency: demand.GetHeldConcurrency(),
		})
	}
	return request
}

// grantShares decides on a request for shares by the limits in the configuration in force. Unknown
// customers, and all customers before there is a configuration, have no limits to grant from.
func (d *Daemon) grantShares(request limits.Request) limits.Response {
	snapshot := d.snapshot()
	return d.limitsHolder.Handle(time.Now(), request, func(customer string) (contract.Limits, bool) {
		if snapshot == nil {
			return contract.Limits{}, false
		}
		c := snapshot.Customer(customer)
		if c == nil {
			return contract.Limits{}, false
		}
		return c.Limits, true
	})
}

// tickShares requests shares of limits from their holders every limits.TickInterval, and
// immediately when a request waits for one.
func (d *Daemon) tickShares(ctx context.Context) {
	ticker := time.NewTicker(limits.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.sharesWanted:
		}
		for _, out := range d.shares.Tick(time.Now()) {
			go d.requestShares(ctx, out)
		}
	}
}

// requestShares sends one request for shares to its holder, or decides on it here when this daemon
// is the holder, and applies the response.
func (d *Daemon) requestShares(ctx context.Context, out limits.OutgoingRequest) {
	if out.Holder == d.settings.VM {
		d.shares.Apply(time.Now(), out, d.grantShares(out.Request))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	msg := &peerapi.ShareRequest{Sender: d.sender(), Sequence: out.Request.Sequence}
	for _, demand := range out.Request.Demands {
		msg.Demands = append(msg.Demands, &peerapi.Demand{
			Customer: demand.Customer, RateMilli: demand.RateMilli, Concurrency: demand.Concurrency, InFlight: demand.InFlight,
			HeldRateMilli: demand.HeldRateMilli, HeldConcurrency: demand.HeldConcurrency,
		})
	}
	resp, err := d.peers.client(d.peerAddressOf(out.Holder)).Share(ctx, connect.NewRequest(msg))
	if err != nil {
		d.log.Part("limits").Debug("The holder of limits did not answer a request for shares.", "vm", out.Holder, "err", err)
		return
	}
	response := limits.Response{NotHolder: resp.Msg.GetNotHolder()}
	for _, g := range resp.Msg.GetGrants() {
		response.Grants = append(response.Grants, limits.Grant{Customer: g.GetCustomer(), RateMilli: g.GetRateMilli(), Concurrency: g.GetConcurrency()})
	}
	d.shares.Apply(time.Now(), out, response)
}
