package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/cowsliprun/cowsliprun/internal/admin"
	"github.com/cowsliprun/cowsliprun/internal/forward"
	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/rotisserie/eris"
)

// listeners are the three servers of a daemon and their addresses.
type listeners struct {
	callers, peer, admin             *http.Server
	callersOn, peerOn, adminOn       net.Listener
	callersAddr, peerAddr, adminAddr net.Addr
}

// maxStreams bounds the requests at the same time on one connection from a peer daemon.
const maxStreams = 1000

// listen opens all listeners, or none.
func (d *Daemon) listen() error {
	l := &d.listeners
	for _, open := range []struct {
		on      *net.Listener
		addr    *net.Addr
		address string
		field   string
	}{
		{&l.callersOn, &l.callersAddr, d.settings.Listen.Callers, "listen.callers"},
		{&l.peerOn, &l.peerAddr, d.settings.Listen.Peer, "listen.peer"},
		{&l.adminOn, &l.adminAddr, d.settings.Listen.Admin, "listen.admin"},
	} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			l.closeOpen()
			return eris.Wrapf(err, "%s cannot be opened", open.field)
		}
		*open.on, *open.addr = listener, listener.Addr()
	}
	l.callersOn = netutil.LimitListener(l.callersOn, d.settings.Limits.MaxConnections)
	l.callers = callersServer(d.settings.Limits, closeWhenLeaving(d.home.Leaving, d.entry.Handler()))
	l.peer = peerServer(d.settings.Limits, d.guard.wrap(peerHandler(d.home, http.HandlerFunc(d.entry.ServeOperation), d.controlHandler())))
	l.admin = &http.Server{Handler: admin.Handler(operator{d}), ReadHeaderTimeout: time.Duration(d.settings.Limits.HeaderTimeout), MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes}
	for name, server := range map[string]*http.Server{"callers": l.callers, "peer": l.peer, "admin": l.admin} {
		server.ErrorLog = serverErrors(d.log.Part("daemon"), name)
	}
	return nil
}

func (l *listeners) closeOpen() {
	for _, open := range []net.Listener{l.callersOn, l.peerOn, l.adminOn} {
		if open != nil {
			open.Close()
		}
	}
}

func callersServer(limits settings.Limits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           stallGuard(limits, handler),
		Protocols:         protocols,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		// The handler refuses OPTIONS * with an outcome.
		DisableGeneralOptionsHandler: true,
	}
}

// closeWhenLeaving asks callers to open no further request on their connection once the drain has begun. The end of the drain
// closes idle connections, and a request that a caller sends at that moment would get no response.
func closeWhenLeaving(leaving func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func peerServer(limits settings.Limits, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: handler, Protocols: protocols, MaxHeaderBytes: limits.MaxHeaderBytes * 2,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: forward.StreamBufferBytes, MaxReceiveBufferPerConnection: forward.ConnectionBufferBytes,
		},
	}
}

// serve starts the servers. The channel receives the first failure.
func (d *Daemon) serve() <-chan error {
	l := &d.listeners
	failed := make(chan error, 3)
	for _, s := range []struct {
		server *http.Server
		on     net.Listener
	}{{l.callers, l.callersOn}, {l.peer, l.peerOn}, {l.admin, l.adminOn}} {
		go func() {
			// A drain closes the callers' listener before its server.
			if err := s.server.Serve(s.on); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// close ends the servers after a drain. Peers get a moment to finish control messages.
func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range []*http.Server{d.listeners.callers, d.listeners.peer, d.listeners.admin} {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
}
