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
	compareTimeout = 500 * time.Millisecond
	// maxPeerClients bounds the clients kept. Holders and siblings are spread over the fleet, so there are more of them than
	// peers; an idle client costs about 1 KB.
	maxPeerClients = 2048
	// maxControlBytes bounds a message about reservations or shares.
	maxControlBytes = 64 << 10
)

// controlHandler serves the messages of other daemons.
type controlHandler struct {
	*configsync.Handler
	daemon *Daemon
}

func (d *Daemon) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerapiconnect.NewPeerServiceHandler(&controlHandler{d.sync.Handler(), d}, configsync.HandlerOptions()...))
	return mux
}

func (d *Daemon) sender() *peerapi.Sender {
	return &peerapi.Sender{Vm: d.settings.VM, Incarnation: d.incarnation, Leaving: d.home.Leaving()}
}

// Reserve decides on reservations for backend servers of this VM.
func (h *controlHandler) Reserve(_ context.Context, req *connect.Request[peerapi.ReserveRequest]) (*connect.Response[peerapi.ReserveResponse], error) {
	return connect.NewResponse(h.daemon.home.Grant(time.Now(), req.Msg, h.daemon.sender())), nil
}

// Compare tells how backend servers of this VM did recently.
func (h *controlHandler) Compare(_ context.Context, req *connect.Request[peerapi.CompareRequest]) (*connect.Response[peerapi.CompareResponse], error) {
	return connect.NewResponse(h.daemon.home.Summaries(time.Now(), req.Msg.GetBackendServers())), nil
}

// peerClients calls other daemons about reservations and shares.
type peerClients struct {
	http *http.Client

	mu      sync.Mutex
	clients map[string]peerapiconnect.PeerServiceClient
}

func newPeerClients(traffic *forward.Traffic) *peerClients {
	return &peerClients{http: &http.Client{Transport: forward.NewPeerTransport(traffic.Dial)}, clients: map[string]peerapiconnect.PeerServiceClient{}}
}

func (p *peerClients) client(address string) peerapiconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		if len(p.clients) >= maxPeerClients {
			clear(p.clients)
		}
		client = peerapiconnect.NewPeerServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxControlBytes))
		p.clients[address] = client
	}
	return client
}

// addressOf returns the peer address of a VM, or "".
func (d *Daemon) addressOf(vm string) string {
	snapshot := d.book.Snapshot()
	if snapshot == nil {
		return ""
	}
	if v := snapshot.VM(vm); v != nil {
		return v.PeerAddress
	}
	return ""
}

// tickHome drives the life cycles of the backend servers of this VM.
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
			go d.reserve(ctx, msg)
		}
		d.home.RunProbes(now)
		for _, c := range d.home.Compare(now, d.snapshot()) {
			go d.compare(ctx, c)
		}
	}
}

const (
	// controlBudget is what a daemon may use for control messages, in bytes a second, asked and answered together.
	controlBudget = 4000
	// controlReserve is left for changes of the configuration, which come at once.
	controlReserve = 500
)

// divideBudget gives comparisons what other control messages leave of the budget. A daemon answers about as many messages as
// it starts, so what it starts counts twice.
func (d *Daemon) divideBudget(elapsed time.Duration) {
	total := 2 * (d.control.Sent() + d.control.Received())
	compared := home.CompareBytes(d.compared.Load())
	other := float64(total-d.lastTotal) - float64(compared-d.lastCompared)
	d.lastTotal, d.lastCompared = total, compared
	d.home.SetCompareBudget(controlBudget - controlReserve - int(max(other, 0)/elapsed.Seconds()))
}

// compare asks one daemon for summaries. A reply that comes after the round counts for the next one.
func (d *Daemon) compare(ctx context.Context, c home.Comparison) {
	d.compared.Add(1)
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	resp, err := d.peers.client(d.addressOf(c.VM)).Compare(ctx, connect.NewRequest(&peerapi.CompareRequest{BackendServers: c.BackendServers}))
	if err != nil {
		d.log.Part("home").Debug("A peer did not answer a comparison.", "vm", c.VM, "err", err)
		return
	}
	d.home.Compared(resp.Msg)
}

// reserve sends one message. Silence after reservation.ReplyTimeout makes the requester ask another sibling.
func (d *Daemon) reserve(ctx context.Context, msg reservation.Message) {
	ctx, cancel := context.WithTimeout(ctx, reservation.ReplyTimeout)
	defer cancel()
	resp, err := d.peers.client(d.addressOf(msg.VM)).Reserve(ctx, connect.NewRequest(msg.Request(d.sender())))
	if err != nil {
		d.log.Part("home").Debug("A peer did not answer a request for reservations.", "vm", msg.VM, "err", err)
		d.home.ReservationResult(time.Now(), msg.ID, nil, err)
		return
	}
	d.home.ReservationResult(time.Now(), msg.ID, resp.Msg.GetGranted(), nil)
}
