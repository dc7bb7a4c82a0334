package daemon

import (
	stdlog "log"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/telemetry"
)

// newServerErrorLog returns the logger for errors that net/http itself reports, such as failed
// handshakes and panics of handlers. Without it they would go to standard error as plain lines
// without a rate limit, and callers can cause them at will.
func newServerErrorLog(log *telemetry.Logger, server string) *stdlog.Logger {
	return stdlog.New(&serverErrorWriter{log: log, server: server}, "", 0)
}

// serverErrorWriter writes each report of an HTTP server as one line of the log.
type serverErrorWriter struct {
	log    *telemetry.Logger
	server string
}

// Write logs one report as one line. The listener's name comes first and so is the subject of the
// log's repeat limit: the text would not do, because it contains addresses.
func (w *serverErrorWriter) Write(p []byte) (int, error) {
	w.log.Warn("The HTTP server reported an error.", "listener", w.server, "err", strings.TrimSpace(string(p)))
	return len(p), nil
}

// redirectStandardLog redirects the standard logger to log. net/http clients write unsolicited
// responses to it, with all their bytes. The quoted part of a message is left out, because it may
// be a body.
func redirectStandardLog(log *telemetry.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardLogWriter{log})
}

// standardLogWriter writes each message of the standard logger as one line of the log, up to its
// first quote.
type standardLogWriter struct{ log *telemetry.Logger }

func (w standardLogWriter) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(string(p), `"`)
	w.log.Warn("A library reported an error.", "err", strings.TrimSpace(text))
	return len(p), nil
}
