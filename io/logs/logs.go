// Package logs sets up the log of a process: one JSON object a line, for
// changes of state only. What happens often is counted instead.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"chervilreach/core/fleet"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// waitingLines bounds the lines that wait for a slow writer.
const waitingLines = 1024

// timeFormat has milliseconds, as the stamps of the time line have.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log writes the lines of a process. Writing never blocks the caller; a writer
// that is too slow loses lines.
type Log struct {
	zerolog.Logger
	queue diode.Writer
}

// New returns a log that writes to w, which stays open, at the given level ("debug", "info",
// "warn" or "error") and calls lost with the number of lines lost, if any.
func New(w io.Writer, process fleet.ProcessID, level string, lost func(n int)) (*Log, error) {
	lowest, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	queue := diode.NewWriter(writerOnly{w}, waitingLines, 0, lost)
	logger := zerolog.New(queue).Level(lowest).Hook(zerolog.HookFunc(stampTime)).
		With().Str("process", string(process)).Logger()
	return &Log{Logger: logger, queue: queue}, nil
}

// Bound lets so many lines a second through at the level info and below it; the
// number of those left out so far is written once a second. Warnings and errors always pass.
func (l *Log) Bound(most uint32) {
	left := &leftOut{log: l.Logger}
	burst := &zerolog.BurstSampler{Burst: most, Period: time.Second, NextSampler: left}
	l.Logger = l.Sample(zerolog.LevelSampler{DebugSampler: burst, InfoSampler: burst})
}

// leftOut counts lines that are left out and tells of them once a second.
type leftOut struct {
	log    zerolog.Logger
	n      atomic.Int64
	toldAt atomic.Int64
}

// Sample implements zerolog.Sampler: it lets no line through.
func (l *leftOut) Sample(zerolog.Level) bool {
	n := l.n.Add(1)
	now := time.Now().Unix()
	if at := l.toldAt.Load(); now > at && l.toldAt.CompareAndSwap(at, now) {
		l.log.Warn().Int64("left-out", n).Msg("lines left out")
	}
	return false
}

// Close writes the lines that wait.
func (l *Log) Close() error {
	if err := l.queue.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}

func stampTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// writerOnly hides other methods: the queue would close w with itself.
type writerOnly struct {
	io.Writer
}
