package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/settings"
	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// settingsPollInterval is the time between two checks of the settings file, which may change
// without a signal.
const settingsPollInterval = time.Second

// maxQueuedLogLines bounds the lines queued for a slow reader of the log: about 300 KB.
const maxQueuedLogLines = 1024

// MainRegistry runs a RegistryDaemon with a settings file and returns the exit status, which means
// the same as that of Main. Errors of the start are written to stderr. SIGHUP reloads the settings;
// SIGTERM and interrupts drain the daemon.
func MainRegistry(file string, o RegistryOptions, stderr io.Writer) int {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(stderr, "cowsliprun: cannot read the settings file:", err)
		return ExitSettings
	}
	s, fatal, ignored := settings.ParseUsable(file, data)
	if len(fatal) > 0 {
		for _, issue := range fatal {
			fmt.Fprintln(stderr, issue)
		}
		return ExitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(2 * s.Limits.ControlMemoryBytes)
	log := telemetry.NewRingWriter(o.Log, maxQueuedLogLines)
	o.Log = log
	logCtx, stopLog := context.WithCancel(context.Background())
	var logWriter sync.WaitGroup
	logWriter.Go(func() { log.Run(logCtx) })
	defer func() {
		stopLog()
		logWriter.Wait()
	}()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Without this, SIGHUP would end the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	d, err := NewRegistryDaemon(s, o)
	if err != nil {
		fmt.Fprintln(stderr, "cowsliprun:", err)
		return exitFailed
	}
	redirectStandardLog(d.log.Part("daemon"))
	d.logIgnored(ignored)
	go d.watchSettings(ctx, file, data, reloadSignals)
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "cowsliprun:", err)
		return exitFailed
	}
	return exitOK
}

// watchSettings reloads the settings file on a signal, and when its content has changed, until ctx
// ends. last is the content that is in force.
func (d *RegistryDaemon) watchSettings(ctx context.Context, file string, last []byte, reloadSignals <-chan os.Signal) {
	log := d.log.Part("daemon")
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err != nil {
			log.Warn("The settings file cannot be read.", "err", err)
			continue
		}
		if !signalled && bytes.Equal(data, last) {
			continue
		}
		last = data
		s, fatal, ignored := settings.ParseUsable(file, data)
		if len(fatal) > 0 {
			log.Warn("The changed settings are invalid; the previous ones stay in force.", "issue", fatal[0])
			continue
		}
		log.Info("The settings file was reloaded.", "signal", signalled)
		d.logIgnored(ignored)
		d.Reload(s)
	}
}

// logIgnored logs the settings that are replaced by their defaults.
func (d *RegistryDaemon) logIgnored(issues strictyaml.Issues) {
	log := d.log.Part("daemon")
	for _, issue := range issues {
		log.Warn("A setting cannot be used; its default applies.", "field", issue.Path, "issue", issue)
	}
}

// isServerClosed reports whether err is what http.Server.Serve returns after its server or listener
// was closed.
func isServerClosed(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}
