package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/listener"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/rotisserie/eris"
)

// listeners holds the three HTTP servers of a daemon with their open sockets and addresses.
type listeners struct {
	callers, peer, admin                         *http.Server
	callersListener, peerListener, adminListener *listener.Listener
	callersAddr, peerAddr, adminAddr             net.Addr
}

// maxPeerStreams bounds the concurrent requests on one connection from a peer.
const maxPeerStreams = 1000

// listen opens all listeners, or none.
func (d *Daemon) listen() error {
	l := &d.listeners
	for _, spec := range []struct {
		listener       **listener.Listener
		addr           *net.Addr
		address        string
		field          string
		maxConnections int
	}{
		{&l.callersListener, &l.callersAddr, d.settings.Listen.Callers, "listen.callers", d.settings.Limits.MaxConnections},
		{&l.peerListener, &l.peerAddr, d.settings.Listen.Peer, "listen.peer", 0},
		{&l.adminListener, &l.adminAddr, d.settings.Listen.Admin, "listen.admin", 0},
	} {
		opened, err := listener.Listen(spec.address, spec.maxConnections)
		if err != nil {
			l.closeListeners()
			return eris.Wrapf(err, "cannot open listener %s", spec.field)
		}
		*spec.listener, *spec.addr = opened, opened.Addr()
	}
	l.callers = newCallersServer(d.settings.Limits, closeWhenLeaving(d.home.Leaving, d.entry.Handler()))
	l.peer = newPeerServer(d.settings.Limits, d.guard.wrap(peerHandler(d.home, http.HandlerFunc(d.entry.ServeOperation), d.controlHandler())))
	l.admin = &http.Server{Handler: admin.Handler(adminView{d}), ReadHeaderTimeout: time.Duration(d.settings.Limits.HeaderTimeout), MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes}
	for name, server := range map[string]*http.Server{"callers": l.callers, "peer": l.peer, "admin": l.admin} {
		server.ErrorLog = newServerErrorLog(d.log.Part("daemon"), name)
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (l *listeners) closeListeners() {
	for _, opened := range []*listener.Listener{l.callersListener, l.peerListener, l.adminListener} {
		if opened != nil {
			opened.Close()
		}
	}
}

// newCallersServer returns the server for callers, which speak HTTP/1.1 or HTTP/2 without TLS, with
// the limits of the settings.
func newCallersServer(limits settings.Limits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           listener.WithArrival(withStallTimeouts(limits, handler)),
		ConnContext:       listener.ConnContext,
		Protocols:         protocols,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		// The handler itself refuses "OPTIONS *", with an outcome header.
		DisableGeneralOptionsHandler: true,
	}
}

// closeWhenLeaving adds "Connection: close" to HTTP/1 responses once the drain has begun. The end
// of the drain closes idle connections, and a request that a caller sends at that moment would get
// no response.
func closeWhenLeaving(leaving func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newPeerServer returns the server for other daemons, which speak HTTP/2 without TLS. Its header
// limit is twice that of callers.
func newPeerServer(limits settings.Limits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: limits.MaxHeaderBytes * 2,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxPeerStreams, MaxReceiveBufferPerStream: forward.StreamBufferBytes, MaxReceiveBufferPerConnection: forward.ConnectionBufferBytes,
		},
	}
}

// serve starts the servers. The channel receives the errors of those that fail.
func (d *Daemon) serve() <-chan error {
	l := &d.listeners
	failed := make(chan error, 3)
	for _, s := range []struct {
		server   *http.Server
		listener *listener.Listener
	}{{l.callers, l.callersListener}, {l.peer, l.peerListener}, {l.admin, l.adminListener}} {
		go func() {
			// A drain closes the listeners before it shuts their servers down.
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// close shuts the servers down. Requests in flight get one second to finish.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range []*http.Server{d.listeners.callers, d.listeners.peer, d.listeners.admin} {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
