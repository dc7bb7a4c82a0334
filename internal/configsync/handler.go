package configsync

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cowsliprun/cowsliprun/internal/peerapi"
)

// Handler serves the calls Exchange, Push and Pull of peers. The daemon combines it with the
// handlers of the other procedures. It is safe for concurrent use.
type Handler struct{ r *Runner }

// Handler returns a handler that serves from this runner.
func (r *Runner) Handler() *Handler { return &Handler{r} }

// Exchange answers with the revisions held here when the digests differ.
func (h *Handler) Exchange(_ context.Context, request *connect.Request[peerapi.ExchangeRequest]) (*connect.Response[peerapi.ExchangeResponse], error) {
	h.r.recordCaller(request.Msg.GetSender(), request.Msg.GetPlatformAgeMs())
	response := &peerapi.ExchangeResponse{Sender: h.r.sender(), Digest: h.r.store.Digest(), PlatformAgeMs: h.r.platformAgeMs()}
	if response.Digest != request.Msg.GetDigest() {
		response.Revisions = revisionsToProto(h.r.store.Revisions())
	}
	return reply(h.r, request.Msg, response), nil
}

// Push stores the values of the request and answers which of the offered revisions are wanted.
func (h *Handler) Push(_ context.Context, request *connect.Request[peerapi.PushRequest]) (*connect.Response[peerapi.PushResponse], error) {
	h.r.recordCaller(request.Msg.GetSender(), request.Msg.GetPlatformAgeMs())
	source := request.Msg.GetSender().GetVm()
	h.r.receiveValues(source, valuesFromProto(request.Msg.GetValues()))
	response := &peerapi.PushResponse{Sender: h.r.sender(), Wanted: h.r.wantedOffers(source, revisionsFromProto(request.Msg.GetOffers()))}
	return reply(h.r, request.Msg, response), nil
}

// Pull answers with the values of the first names, as many as fit into one message.
func (h *Handler) Pull(_ context.Context, request *connect.Request[peerapi.PullRequest]) (*connect.Response[peerapi.PullResponse], error) {
	h.r.recordCaller(request.Msg.GetSender(), 0)
	names := request.Msg.GetNames()
	values, _ := nextValueBatch(h.r.store, names[:min(len(names), maxValues)])
	return reply(h.r, request.Msg, &peerapi.PullResponse{Sender: h.r.sender(), Values: values}), nil
}

// reply counts the bytes of a request and its response.
func reply[Q, P any](r *Runner, request *Q, response *P) *connect.Response[P] {
	r.servedBytes.received.Add(messageBytes(request))
	r.servedBytes.sent.Add(messageBytes(response))
	return connect.NewResponse(response)
}
