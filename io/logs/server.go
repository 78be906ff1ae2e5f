package logs

import (
	"bytes"
	stdlog "log"

	"github.com/rs/zerolog"
)

// ErrorLog returns a logger for http.Server.ErrorLog whose lines are warnings of l.
func ErrorLog(l zerolog.Logger) *stdlog.Logger { return stdlog.New(warnWriter{l}, "", 0) }

// warnWriter writes each line as a warning.
type warnWriter struct{ log zerolog.Logger }

// Write implements io.Writer. It never fails.
func (w warnWriter) Write(line []byte) (int, error) {
	w.log.Warn().Bytes("error", bytes.TrimSpace(line)).Msg("server for callers")
	return len(line), nil
}
