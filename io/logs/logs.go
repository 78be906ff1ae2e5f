// Package logs creates the log of a process. It has one JSON object per line and is meant
// for changes of state; frequent events are counted in metrics instead.
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

// maxQueuedLines bounds the lines that are queued for a slow writer.
const maxQueuedLines = 1024

// timeFormat has a resolution of milliseconds, as the timestamps of the timeline do.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Log is the log of a process. Logging never blocks the caller: lines are dropped if the
// writer is too slow. It is safe for concurrent use.
type Log struct {
	zerolog.Logger
	queue diode.Writer
}

// New returns a log that writes lines of the given level ("debug", "info", "warn" or
// "error") and above to w. Close does not close w. onDropped is called with the number of lines
// that have been dropped because w was too slow; it may be nil.
func New(w io.Writer, process fleet.ProcessID, level string, onDropped func(n int)) (*Log, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	queue := diode.NewWriter(writerOnly{w}, maxQueuedLines, 0, onDropped)
	logger := zerolog.New(queue).Level(minLevel).Hook(zerolog.HookFunc(addTime)).
		With().Str("process", string(process)).Logger()
	return &Log{Logger: logger, queue: queue}, nil
}

// LimitRate limits the lines of level info and below to linesPerSecond. Lines above the
// limit are dropped, and their total number so far is logged at most once a second.
// Warnings and errors are not limited, nor are loggers copied from l before the call.
func (l *Log) LimitRate(linesPerSecond uint32) {
	dropped := &droppedLines{log: l.Logger}
	burst := &zerolog.BurstSampler{Burst: linesPerSecond, Period: time.Second, NextSampler: dropped}
	l.Logger = l.Sample(zerolog.LevelSampler{DebugSampler: burst, InfoSampler: burst})
}

// droppedLines is a sampler that drops all lines. It counts them and logs their number at
// most once a second.
type droppedLines struct {
	log     zerolog.Logger
	dropped atomic.Int64
	// reportedAt is the time of the last report, in Unix seconds.
	reportedAt atomic.Int64
}

// Sample implements zerolog.Sampler. It returns false, which drops the line.
func (l *droppedLines) Sample(zerolog.Level) bool {
	dropped := l.dropped.Add(1)
	now := time.Now().Unix()
	if at := l.reportedAt.Load(); now > at && l.reportedAt.CompareAndSwap(at, now) {
		l.log.Warn().Int64("left-out", dropped).Msg("lines left out")
	}
	return false
}

// Close writes the queued lines and stops the log.
func (l *Log) Close() error {
	if err := l.queue.Close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}

// addTime adds the current time in UTC to a line.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// writerOnly hides all methods of a writer but Write, as the queue would otherwise close
// the writer when it is closed.
type writerOnly struct {
	io.Writer
}
