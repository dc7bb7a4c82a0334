package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cowsliprun/cowsliprun/internal/configsync"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/home"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/reservation"
)

const (
	// compareTimeout bounds a request for summaries of backend servers.
	compareTimeout = 500 * time.Millisecond
	// maxPeerClients bounds the cached clients. Limits holders and the VMs of comparable backend
	// servers are spread over the fleet, so a daemon calls many others. An idle client takes about
	// 1 KB.
	maxPeerClients = 2048
	// maxControlMessageBytes bounds a response about reservations, comparisons or shares.
	maxControlMessageBytes = 64 << 10
)

// controlHandler serves the control messages of other daemons: configuration, reservations,
// comparisons and shares of limits.
type controlHandler struct {
	*configsync.Handler
	daemon *Daemon
}

func (d *Daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerapiconnect.NewPeerServiceHandler(&controlHandler{d.configSync.Handler(), d}, configsync.HandlerOptions()...))
	return mux
}

// sender returns the identification of this daemon that control messages carry.
func (d *Daemon) sender() *peerapi.Sender {
	return &peerapi.Sender{Vm: d.settings.VM, Incarnation: d.incarnation, Leaving: d.home.Leaving()}
}

// Reserve grants or refuses reservations for backend servers of this VM.
func (h *controlHandler) Reserve(_ context.Context, req *connect.Request[peerapi.ReserveRequest]) (*connect.Response[peerapi.ReserveResponse], error) {
	return connect.NewResponse(h.daemon.home.Grant(time.Now(), req.Msg, h.daemon.sender())), nil
}

// Compare returns summaries of the recent performance of backend servers of this VM.
func (h *controlHandler) Compare(_ context.Context, req *connect.Request[peerapi.CompareRequest]) (*connect.Response[peerapi.CompareResponse], error) {
	return connect.NewResponse(h.daemon.home.Summaries(time.Now(), req.Msg.GetBackendServers())), nil
}

// peerClients caches the clients for control messages to other daemons. It is safe for concurrent
// use.
type peerClients struct {
	http *http.Client

	mu sync.Mutex
	// clients is keyed by peer address.
	clients map[string]peerapiconnect.PeerServiceClient
}

func newPeerClients(traffic *forward.Traffic) *peerClients {
	return &peerClients{http: &http.Client{Transport: forward.NewPeerTransport(forward.PeerOptions{Dial: traffic.Dial})}, clients: map[string]peerapiconnect.PeerServiceClient{}}
}

// client returns the client for the daemon at a peer address.
func (p *peerClients) client(address string) peerapiconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		if len(p.clients) >= maxPeerClients {
			clear(p.clients)
		}
		client = peerapiconnect.NewPeerServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxControlMessageBytes))
		p.clients[address] = client
	}
	return client
}

// peerAddressOf returns the peer address of a VM, or "" if the configuration in force has no such
// VM.
func (d *Daemon) peerAddressOf(vm string) string {
	snapshot := d.config.Snapshot()
	if snapshot == nil {
		return ""
	}
	if v := snapshot.VM(vm); v != nil {
		return v.PeerAddress
	}
	return ""
}

// tickHome drives the periodic work of the home every home.TickInterval: reservations, probes and
// comparisons of the backend servers of this VM.
func (d *Daemon) tickHome(ctx context.Context) {
	ticker := time.NewTicker(home.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, msg := range d.home.Tick(now) {
			go d.requestReservations(ctx, msg)
		}
		d.home.RunProbes(now)
		for _, c := range d.home.NextComparisons(now, d.snapshot()) {
			go d.requestComparison(ctx, c)
		}
	}
}

const (
	// controlBytesPerSecond bounds the control messages of a daemon, initiated and answered ones
	// together.
	controlBytesPerSecond = 4000
	// reservedBytesPerSecond is the part of controlBytesPerSecond left for changes of the
	// configuration, which come in bursts.
	reservedBytesPerSecond = 500
)

// updateComparisonBudget gives comparisons what other control messages left of the budget in the
// time elapsed since the last call. A daemon answers about as many messages as it initiates, so the
// bytes of the latter count twice. Only trackLiveVMs calls it.
func (d *Daemon) updateComparisonBudget(elapsed time.Duration) {
	controlBytes := 2 * (d.controlTraffic.Sent() + d.controlTraffic.Received())
	comparisonBytes := home.CompareBytes(d.comparisonsSent.Load())
	otherBytes := float64(controlBytes-d.lastControlBytes) - float64(comparisonBytes-d.lastComparisonBytes)
	d.lastControlBytes, d.lastComparisonBytes = controlBytes, comparisonBytes
	d.home.SetCompareBudget(controlBytesPerSecond - reservedBytesPerSecond - int(max(otherBytes, 0)/elapsed.Seconds()))
}

// requestComparison asks the daemon of another VM for summaries of its backend servers. A response
// that arrives after the current round counts for the next one.
func (d *Daemon) requestComparison(ctx context.Context, c home.Comparison) {
	d.comparisonsSent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	resp, err := d.peers.client(d.peerAddressOf(c.VM)).Compare(ctx, connect.NewRequest(&peerapi.CompareRequest{BackendServers: c.BackendServers}))
	if err != nil {
		d.log.Part("home").Debug("A peer did not answer a comparison request.", "vm", c.VM, "err", err)
		return
	}
	d.home.HandleCompareResponse(resp.Msg)
}

// requestReservations sends one reservation request and passes the result to the home. Without a
// response within reservation.ReplyTimeout, the home asks another VM.
func (d *Daemon) requestReservations(ctx context.Context, msg reservation.Message) {
	ctx, cancel := context.WithTimeout(ctx, reservation.ReplyTimeout)
	defer cancel()
	resp, err := d.peers.client(d.peerAddressOf(msg.VM)).Reserve(ctx, connect.NewRequest(msg.Request(d.sender())))
	if err != nil {
		d.log.Part("home").Debug("A peer did not answer a reservation request.", "vm", msg.VM, "err", err)
		d.home.HandleReservationResult(time.Now(), msg.ID, nil, err)
		return
	}
	d.home.HandleReservationResult(time.Now(), msg.ID, resp.Msg.GetGranted(), nil)
}
