package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/pause"
)

const (
	// readinessGracePeriod is the time from the begin of a stop in which callers are still
	// accepted. The platform checks readiness once a second, and stops sending callers after two
	// failed checks.
	readinessGracePeriod = 2300 * time.Millisecond
	// exitMargin is the part of limits.drainStopLimit reserved for the exit of the process.
	exitMargin = 700 * time.Millisecond
	// handOverShare is the part of limits.drainStopLimit in which requests are handed over to backend
	// servers. Later ones would often be cut off with the end of the process.
	handOverShare = 0.5
	// lastAnswerTime is the time within which requests that still run at the end of a drain get an
	// error response.
	lastAnswerTime = 200 * time.Millisecond
)

// errStopped is the cause with which requests end when the daemon has to.
var errStopped = errors.New("the daemon has to end")

// drain stops gracefully. It first reports that the daemon is not ready and keeps serving callers
// until the platform has noticed, then waits for requests in flight within limits.drainStopLimit
// less exitMargin. No request that was read is left without a response: one that has not been handed
// over by handOverShare of the limit is refused, and one that still runs in the end gets an error.
func (d *RegistryDaemon) drain() {
	log := d.log.Part("daemon")
	limit := time.Duration(d.settings.Limits.DrainStopLimit)
	log.Info("The drain begins.", "limit", limit)
	ctx, cancel := context.WithTimeout(context.Background(), limit-exitMargin)
	defer cancel()
	d.leaving.Store(true)
	handOver := time.AfterFunc(time.Duration(handOverShare*float64(limit)), func() { d.stopping.Store(true) })
	defer handOver.Stop()
	d.feed.CloseStreams()
	pause.For(ctx, readinessGracePeriod)
	// The backend server keeps running while its daemon is replaced, but is unreachable without a
	// home. The home therefore drains in parallel, to be gone for as short a time as possible.
	homeDrained := make(chan error, 1)
	go func() { homeDrained <- d.home.Drain(ctx) }()
	var peerListener sync.WaitGroup
	peerListener.Go(func() { d.peer.listener.Drain(ctx) })
	if err := stopServing(ctx, d.callers.listener, d.callers.server); err != nil {
		log.Warn("The drain stop limit has passed; requests of callers end with an error.", "err", err)
		d.endRequests(errStopped)
		answers, stop := context.WithTimeout(context.Background(), lastAnswerTime)
		defer stop()
		if err := d.callers.server.Shutdown(answers); err != nil {
			log.Warn("Requests of callers are aborted without a response.", "err", err)
		}
		d.callers.listener.WaitLingering(answers)
	}
	if err := <-homeDrained; err != nil {
		log.Warn("The drain stop limit has passed; requests to backend servers are aborted.", "err", err)
	}
	peerListener.Wait()
	if err := d.peer.server.Shutdown(ctx); err != nil {
		log.Warn("The drain stop limit has passed; requests of other daemons are aborted.", "err", err)
	}
}
