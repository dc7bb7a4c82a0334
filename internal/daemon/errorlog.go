package daemon

import (
	stdlog "log"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// serverErrors returns the logger for the errors that net/http itself reports: failed handshakes, panics, faulty handlers.
// Without it they go to standard error as plain lines without a limit, which callers can cause at will.
func serverErrors(log *telemetry.Logger, server string) *stdlog.Logger {
	return stdlog.New(&serverErrorWriter{log: log, server: server}, "", 0)
}

type serverErrorWriter struct {
	log    *telemetry.Logger
	server string
}

// Write turns one report into one line. The server is the subject of the repeat limit, because the text holds addresses.
func (w *serverErrorWriter) Write(p []byte) (int, error) {
	w.log.Warn("The HTTP server reported an error.", "listener", w.server, "err", strings.TrimSpace(string(p)))
	return len(p), nil
}

// redirectStandardLog makes what net/http clients write to the standard logger lines of the log: responses that nobody asked
// for, with all bytes of them. The quoted part is left out, because it may be a body.
func redirectStandardLog(log *telemetry.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardLogWriter{log})
}

type standardLogWriter struct{ log *telemetry.Logger }

func (w standardLogWriter) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(string(p), `"`)
	w.log.Warn("A library reported an error.", "err", strings.TrimSpace(text))
	return len(p), nil
}
