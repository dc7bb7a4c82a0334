package configsync

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/cowsliprun/cowsliprun/internal/compress"
	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/peerapi/peerapiconnect"
	"github.com/cowsliprun/cowsliprun/internal/platform"
)

// network connects runners in memory. It implements PeerClient; calls to an address without a
// runner fail.
type network struct {
	mu       sync.Mutex
	handlers map[string]*Handler
}

func (n *network) handler(address string) (*Handler, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h := n.handlers[address]; h != nil {
		return h, nil
	}
	return nil, errUnreachable
}

// callHandler calls a method of the handler at an address, after a network delay of 20 ms.
func callHandler[Q, P any](ctx context.Context, n *network, address string, request *Q,
	method func(*Handler) func(context.Context, *connect.Request[Q]) (*connect.Response[P], error),
) (*P, error) {
	h, err := n.handler(address)
	if err != nil {
		return nil, err
	}
	time.Sleep(20 * time.Millisecond)
	response, err := method(h)(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (n *network) Exchange(ctx context.Context, address string, request *peerapi.ExchangeRequest) (*peerapi.ExchangeResponse, error) {
	return callHandler(ctx, n, address, request, func(h *Handler) func(context.Context, *connect.Request[peerapi.ExchangeRequest]) (*connect.Response[peerapi.ExchangeResponse], error) {
		return h.Exchange
	})
}

func (n *network) Push(ctx context.Context, address string, request *peerapi.PushRequest) (*peerapi.PushResponse, error) {
	return callHandler(ctx, n, address, request, func(h *Handler) func(context.Context, *connect.Request[peerapi.PushRequest]) (*connect.Response[peerapi.PushResponse], error) {
		return h.Push
	})
}

func (n *network) Pull(ctx context.Context, address string, request *peerapi.PullRequest) (*peerapi.PullResponse, error) {
	return callHandler(ctx, n, address, request, func(h *Handler) func(context.Context, *connect.Request[peerapi.PullRequest]) (*connect.Response[peerapi.PullResponse], error) {
		return h.Pull
	})
}

// lockedPlatform serves a modelPlatform to runners, with long polls. It implements Platform.
type lockedPlatform struct {
	mu    sync.Mutex
	model *modelPlatform
}

// with calls f with the model locked.
func (p *lockedPlatform) with(f func(m *modelPlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.model)
}

func (p *lockedPlatform) Changes(ctx context.Context, after uint64, wait time.Duration) (changes platform.Changes, err error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		p.with(func(m *modelPlatform) {
			changes = m.changes(after)
			if m.down {
				err = errUnreachable
			}
		})
		if err != nil || len(changes.Changed) > 0 || changes.Revision < after || !time.Now().Before(end) || ctx.Err() != nil {
			return changes, err
		}
	}
}

func (p *lockedPlatform) Value(_ context.Context, name string) (v platform.Value, err error) {
	p.with(func(m *modelPlatform) {
		if v = m.latest(name); m.down {
			err = errUnreachable
		}
	})
	return v, err
}

func (p *lockedPlatform) VMs(context.Context) (list platform.VMList, err error) {
	p.with(func(m *modelPlatform) {
		if m.down {
			err = errUnreachable
		}
	})
	list.Revision = 1
	for i := range 9 {
		list.VMs = append(list.VMs, platform.VM{ID: fmt.Sprintf("vm%d", i), State: "live"})
	}
	return list, err
}

// startRunner runs the daemon of vms[i], which fails to apply the content "bad". It returns the
// runner, a function that lists what was applied as NAME@REVISION in order, and the function that
// stops the runner.
func startRunner(t *testing.T, n *network, p *lockedPlatform, vms []membership.VM, i int, incarnation uint64) (*Runner, func() []string, context.CancelFunc) {
	t.Helper()
	var mu sync.Mutex
	var applied []string
	var r *Runner
	r = New(Options{
		Members:     membership.New(membership.Config{Self: vms[i], Seeds: []string{vms[0].Address, vms[1].Address, vms[2].Address}, Salt: incarnation}),
		Incarnation: incarnation, Seed: incarnation, Platform: p, Peers: n,
		Apply: func(u Update) ([]byte, error) {
			if string(u.Content) == "bad" {
				return nil, errors.New("not a document")
			}
			if u.Name == VMsName {
				r.SetDirectory(membership.NewDirectory(vms))
			}
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, fmt.Sprintf("%s@%d", u.Name, u.Revision))
			return nil, nil
		},
	})
	n.mu.Lock()
	n.handlers[vms[i].Address] = r.Handler()
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	go r.Run(ctx)
	return r, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(applied)
	}, cancel
}

// Guards the whole path through a fleet: a start from the platform, a change that is put in force
// everywhere, a value that cannot be applied, and a restart from peers alone while the platform is
// down.
func TestRunnersPropagateChangesAndSupplyRestartedDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		daemons := newModel(9, 1).daemons
		var vms []membership.VM
		for _, d := range daemons {
			vms = append(vms, d.vm)
		}
		p := &lockedPlatform{model: newModel(9, 1).platform}
		n := &network{handlers: map[string]*Handler{}}
		runners, stops := make([]*Runner, 9), make([]context.CancelFunc, 9)
		var applied func() []string
		for i := range runners {
			runners[i], applied, stops[i] = startRunner(t, n, p, vms, i, uint64(i+1))
		}
		time.Sleep(30 * time.Second)
		synctest.Wait()
		for i, r := range runners {
			if ready, reason := r.Ready(); !ready || r.IndexRevision() != 4 {
				t.Fatalf("vm%d is not ready: %s", i, reason)
			}
		}
		p.with(func(m *modelPlatform) { m.put("contracts/000", "new"); m.put("contracts/001", "bad") })
		time.Sleep(16 * time.Second)
		synctest.Wait()
		for i, r := range runners {
			refused := r.Status().Refused
			if r.InForce("contracts/000") != 5 || r.InForce("contracts/001") != 3 || len(refused) != 1 || refused[0].Revision != 6 {
				t.Fatalf("vm%d: %+v", i, r.Status())
			}
			if st := r.Status(); st.Members.ListedLive != 9 || st.Conflicts != nil || !st.Platform.Heard {
				t.Fatalf("vm%d: %+v", i, st)
			}
		}
		if order := applied(); slices.Index(order, "contracts/000@5") < slices.Index(order, "index@4") || strings.Count(strings.Join(order, " "), "@5") != 1 {
			t.Fatalf("applied %v", order)
		}
		p.with(func(m *modelPlatform) { m.down = true })
		stops[4]()
		time.Sleep(time.Second)
		restarted, _, _ := startRunner(t, n, p, vms, 4, 99)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		if ready, reason := restarted.Ready(); !ready || restarted.InForce("contracts/000") != 5 {
			t.Fatalf("restarted daemon has revision %d, not ready: %s", restarted.InForce("contracts/000"), reason)
		}
		if st := restarted.Status(); !st.Platform.Down || st.IndexValues != 3 || st.Held != 3 {
			t.Fatalf("restarted daemon: %+v", st)
		}
	})
}

// unimplemented nests the generated stubs one level deeper than Handler, whose methods take
// precedence.
type unimplemented struct {
	peerapiconnect.UnimplementedPeerServiceHandler
}

// Guards the protocol over sockets: values above the size of one message must arrive in several, an
// oversized message must be refused, and a call to a peer that is gone must fail.
func TestClientAndHandlerOverSockets(t *testing.T) {
	r := New(Options{Members: membership.New(membership.Config{Self: membership.VM{ID: "vm1"}})})
	names := make([]string, 3)
	for i := range names {
		names[i] = fmt.Sprint(i)
		noise := make([]byte, 700<<10)
		for j, x := 0, uint32(i+1); j < len(noise); j++ {
			x ^= x << 13
			x ^= x >> 17
			x ^= x << 5
			noise[j] = byte(x)
		}
		r.receiveValues("test", []Value{{Revision: Revision{Name: names[i], Number: 1}, Data: compress.Pack(noise)}})
	}
	mux := http.NewServeMux()
	mux.Handle(peerapiconnect.NewPeerServiceHandler(struct {
		unimplemented
		*Handler
	}{unimplemented{}, r.Handler()}, HandlerOptions()...))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client, address := NewClient(nil), strings.TrimPrefix(server.URL, "http://")
	defer client.Close()
	exchange, err := client.Exchange(t.Context(), address, &peerapi.ExchangeRequest{})
	if err != nil || len(exchange.GetRevisions()) != 3 || exchange.GetSender().GetVm() != "vm1" {
		t.Fatalf("Exchange = %v, %v", exchange, err)
	}
	same, err := client.Exchange(t.Context(), address, &peerapi.ExchangeRequest{Digest: exchange.GetDigest()})
	if err != nil || len(same.GetRevisions()) != 0 {
		t.Fatalf("Exchange with equal digests = %v, %v", same, err)
	}
	other := New(Options{Members: membership.New(membership.Config{Self: membership.VM{ID: "vm2"}}), Peers: client})
	if _, err := other.exchange(t.Context(), membership.VM{Address: address}); err != nil || other.store.Digest() != r.store.Digest() {
		t.Fatalf("values of three messages: %v, holds %d", err, len(other.Held()))
	}
	if _, err := client.Push(t.Context(), address, &peerapi.PushRequest{Values: []*peerapi.Value{{Data: make([]byte, maxMessageBytes)}}}); connect.CodeOf(err) != connect.CodeResourceExhausted {
		t.Fatalf("oversized push: %v", err)
	}
	if sent, received := client.Bytes(); sent == 0 || received < 3*700<<10 {
		t.Fatalf("counted %d bytes sent, %d received", sent, received)
	}
	server.Close()
	if _, err := client.Exchange(t.Context(), address, &peerapi.ExchangeRequest{}); err == nil {
		t.Fatal("a peer that is gone answered")
	}
}
