package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/integrii/flaggy"
)

// Main is the main function of the command standin-platform. It parses the command line, loads the
// directory of values and serves until SIGINT or SIGTERM. SIGHUP loads the directory again. Main
// returns the exit status: 0 after a signal, 1 after an error.
func Main() int {
	address, dir := "127.0.0.1:7400", ""
	flaggy.SetName("standin-platform")
	flaggy.SetDescription("Stand-in for the platform's configuration service.")
	flaggy.String(&address, "l", "listen", "Address to listen on (host:port).")
	flaggy.String(&dir, "d", "values", "Directory of rendered value files (*.json).")
	flaggy.Parse()
	logger := log.WithPrefix(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "part", "standin-platform")
	if err := run(address, dir, logger); err != nil {
		_ = logger.Log("msg", "stopped", "err", err)
		return 1
	}
	return 0
}

func run(address, dir string, logger log.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s := New(NewStore(), dir)
	if err := s.Reload(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	_ = logger.Log("msg", "listening", "address", listener.Addr(), "revision", s.store.Revision())
	for {
		select {
		case <-hup:
			err := s.Reload()
			_ = logger.Log("msg", "reload of the directory of values finished", "revision", s.store.Revision(), "err", err)
		case err := <-serveErr:
			return err
		case <-ctx.Done():
			return ignoreServerClosed(server.Close())
		}
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
