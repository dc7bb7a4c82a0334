package configsync

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// Handler answers Exchange, Push and Pull. The daemon combines it with the handlers of the other procedures.
type Handler struct{ r *Runner }

// Handler returns the handler of this runner.
func (r *Runner) Handler() *Handler { return &Handler{r} }

// Exchange returns the own revisions when the digests differ.
func (h *Handler) Exchange(_ context.Context, request *connect.Request[peerapi.ExchangeRequest]) (*connect.Response[peerapi.ExchangeResponse], error) {
	h.r.heard(request.Msg.GetSender(), request.Msg.GetPlatformAgeMs())
	response := &peerapi.ExchangeResponse{Sender: h.r.sender(), Digest: h.r.store.Digest(), PlatformAgeMs: h.r.age()}
	if response.Digest != request.Msg.GetDigest() {
		response.Revisions = toRevisions(h.r.store.Revisions())
	}
	return reply(h.r, request.Msg, response), nil
}

// Push stores values and answers which of the offered ones are wanted.
func (h *Handler) Push(_ context.Context, request *connect.Request[peerapi.PushRequest]) (*connect.Response[peerapi.PushResponse], error) {
	h.r.heard(request.Msg.GetSender(), request.Msg.GetPlatformAgeMs())
	source := request.Msg.GetSender().GetVm()
	h.r.receive(source, fromValues(request.Msg.GetValues()))
	response := &peerapi.PushResponse{Sender: h.r.sender(), Wanted: h.r.offered(source, fromRevisions(request.Msg.GetOffers()))}
	return reply(h.r, request.Msg, response), nil
}

// Pull returns the values of the first names that fit into one message.
func (h *Handler) Pull(_ context.Context, request *connect.Request[peerapi.PullRequest]) (*connect.Response[peerapi.PullResponse], error) {
	h.r.heard(request.Msg.GetSender(), 0)
	names := request.Msg.GetNames()
	values, _ := takeValues(h.r.store, names[:min(len(names), maxValues)])
	return reply(h.r, request.Msg, &peerapi.PullResponse{Sender: h.r.sender(), Values: values}), nil
}

func reply[Q, P any](r *Runner, request *Q, response *P) *connect.Response[P] {
	r.served.received.Add(sizeOf(request))
	r.served.sent.Add(sizeOf(response))
	return connect.NewResponse(response)
}
