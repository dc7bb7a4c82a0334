// Command standin-backend runs a stand-in for a backend server, for tests and the local example.
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

const stopLimit = 5 * time.Second

func main() {
	id, listen, faults, journal := "backend", "127.0.0.1:0", "{}", ""
	seed := uint64(1)
	flaggy.SetDescription("Stand-in for a backend server, for tests and the local example.")
	flaggy.String(&id, "", "id", "Name in answers and counters.")
	flaggy.String(&listen, "", "listen", "Address to listen on, host:port.")
	flaggy.String(&faults, "", "faults", "Faults as JSON, such as {\"latencyMs\":200}. PUT /_faults changes them.")
	flaggy.UInt64(&seed, "", "seed", "Seed that decides which requests a share of faults hits.")
	flaggy.String(&journal, "", "journal", "File that receives the name of each operation that runs. Default: none.")
	flaggy.Parse()
	if err := run(id, listen, faults, journal, seed); err != nil {
		fmt.Fprintln(os.Stderr, "standin-backend:", err)
		os.Exit(1)
	}
}

func run(id, listen, faults, journal string, seed uint64) error {
	parsed, err := backend.ParseFaults([]byte(faults))
	if err != nil {
		return err
	}
	server := backend.New(id, seed)
	server.SetFaults(parsed)
	if journal != "" {
		file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		server.SetJournal(file)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv := &http.Server{Addr: listen, Handler: server.Handler(), ReadHeaderTimeout: stopLimit}
	failed := make(chan error, 1)
	go func() { failed <- srv.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return srv.Shutdown(ctx)
}
