// Command standin-backend is a stand-in for a backend server that can inject faults. Tests,
// measurements and the local example use it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/standin/backend"
	"github.com/integrii/flaggy"
)

// shutdownTimeout is the time that requests have to finish after SIGINT or SIGTERM, and also the
// time limit for reading the header of a request.
const shutdownTimeout = 5 * time.Second

func main() {
	id, listen, faults, journal := "backend", "127.0.0.1:0", "{}", ""
	seed := uint64(1)
	flaggy.SetDescription("Stand-in for a backend server with fault injection, for tests and the local example.")
	flaggy.String(&id, "", "id", "Name of the backend server in responses and counters.")
	flaggy.String(&listen, "", "listen", "Address to listen on, host:port.")
	flaggy.String(&faults, "", "faults", "Initial faults as JSON, such as {\"latencyMs\":200}. PUT /_faults changes them.")
	flaggy.UInt64(&seed, "", "seed", "Seed of the random choice of requests that a fault affects.")
	flaggy.String(&journal, "", "journal", "File to which the name of each executed operation is appended. Default: none.")
	flaggy.Parse()
	if err := run(id, listen, faults, journal, seed); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(1)
	}
}

func run(id, listen, faults, journal string, seed uint64) error {
	initial, err := backend.ParseFaults([]byte(faults))
	if err != nil {
		return err
	}
	standin := backend.New(id, seed)
	standin.SetFaults(initial)
	if journal != "" {
		file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		standin.SetJournal(file)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: listen, Handler: standin.Handler(), ReadHeaderTimeout: shutdownTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}
