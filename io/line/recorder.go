// Package line implements the timeline. Each process records its events and effects in
// rings of limited size, with stamps of a hybrid logical clock. The lines of several
// processes can be merged into one list in which no effect comes before its cause, and
// written as JSON, as text or as an HTML page.
package line

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"chervilreach/core/event"
	"chervilreach/core/fleet"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// ErrOverrun means that a subscription was closed because its reader was too slow.
var ErrOverrun = errors.New("reader of the time line is too slow")

// Names of the counters that the recorder itself increments.
const (
	counterDropped = "time-line-entries-dropped"
	counterOverrun = "time-line-readers-dropped"
)

// Limits limits the memory of a recorder. Entries are distributed over four rings; a
// ring with a limit of 0 keeps nothing.
type Limits struct {
	// MaxEntries and MaxBytes limit the ring of all entries that belong to no other
	// ring. MaxBytes also limits the ring of notes and the ring of routine entries.
	MaxEntries int
	MaxBytes   fleet.Bytes
	// MaxNotes is the largest number of notes. They have a ring of their own so that
	// changes of state are kept longer than the events around them.
	MaxNotes int
	// MaxRoutineEntries is the largest number of entries that are marked as routine.
	MaxRoutineEntries int
	// MaxLargeBytes limits the total size of large values, such as host lists and
	// configurations. They have a ring of their own so that they don't displace the
	// other entries.
	MaxLargeBytes fleet.Bytes
}

const (
	// minLargeBytes is the size from which on a value counts as large.
	minLargeBytes = 32 << 10
	// maxLargeEntries is the largest number of large values.
	maxLargeEntries = 1 << 8
)

// DefaultLimits returns limits that keep the memory of a recorder under 20 MB.
func DefaultLimits() Limits {
	return Limits{
		MaxEntries:        1 << 14,
		MaxBytes:          4 * fleet.MiB,
		MaxNotes:          1 << 12,
		MaxRoutineEntries: 1 << 13,
		MaxLargeBytes:     4 * fleet.MiB,
	}
}

// Entry is a recorded event or effect that is not encoded yet.
type Entry struct {
	Stamp event.Stamp
	// At is the time that the reducer was given for the event or effect.
	At time.Time
	// Seq is the number of the entry in its recorder, counted from 1; the header has 0.
	Seq    uint64
	Effect bool
	// Value is an event.Event or, if Effect is set, an event.Effect, which has the same
	// methods.
	Value event.Event
}

// Recorder keeps the latest events and effects of one process. It also adds the Count
// effects to counters in a metrics registry and logs the Note effects. It is safe for
// concurrent use.
type Recorder struct {
	process  fleet.ProcessID
	clock    *event.Clock
	registry metrics.Registry
	log      zerolog.Logger

	header event.Event

	mu          sync.Mutex
	headerEntry Entry
	seq         uint64
	general     *ring[Entry]
	notes       *ring[Entry]
	routine     *ring[Entry]
	large       *ring[Entry]
	dropped     DroppedCounts
	counters    map[string]metrics.Counter
	subscribers []*Subscription
}

// Option configures a recorder in New.
type Option func(*Recorder)

// WithMetrics sets the registry of the counters for Count effects.
func WithMetrics(registry metrics.Registry) Option {
	return func(r *Recorder) { r.registry = registry }
}

// WithLog sets the log for Note effects. Without it they are not logged.
func WithLog(log zerolog.Logger) Option {
	return func(r *Recorder) { r.log = log }
}

// WithHeader sets a header, which describes how the reducer was constructed. The
// recorder keeps it outside its rings, before all entries; it gets the time of the first
// entry.
func WithHeader(header event.Event) Option {
	return func(r *Recorder) { r.header = header }
}

// New returns a recorder of the process. The clock must be the one that stamps messages
// to other processes and observes their stamps, so that the stamps of entries agree with
// the order of the messages.
func New(process fleet.ProcessID, clock *event.Clock, limits Limits, options ...Option) *Recorder {
	size := int(limits.MaxBytes)
	r := &Recorder{
		process:  process,
		clock:    clock,
		registry: metrics.NewRegistry(),
		log:      zerolog.Nop(),
		general:  newRing[Entry](limits.MaxEntries, size),
		notes:    newRing[Entry](limits.MaxNotes, size),
		routine:  newRing[Entry](limits.MaxRoutineEntries, size),
		large:    newRing[Entry](maxLargeEntries, int(limits.MaxLargeBytes)),
		counters: make(map[string]metrics.Counter),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Process returns the ID of the recorded process.
func (r *Recorder) Process() fleet.ProcessID {
	return r.process
}

// Event records an event that the reducer got at the time now. It implements
// loop.Recorder.
func (r *Recorder) Event(now time.Time, ev event.Event) {
	r.add(now, false, ev)
}

// Effect records an effect. It adds a Count to its counter and logs a Note. It
// implements loop.Recorder.
func (r *Recorder) Effect(now time.Time, eff event.Effect) {
	r.add(now, true, eff)
	if note, ok := eff.(event.Note); ok {
		r.logNote(note)
	}
}

// add records an event or an effect.
func (r *Recorder) add(now time.Time, effect bool, value event.Event) {
	size := sizeOf(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seq == 0 {
		r.recordHeader(now)
	}
	r.seq++
	entry := Entry{Stamp: r.clock.Next(now), At: now, Seq: r.seq, Effect: effect, Value: value}
	if count, ok := value.(event.Count); ok {
		r.counter(count.Name).Inc(count.N)
	}
	if n := r.ringFor(value, size).push(entry, size); n > 0 {
		r.dropped.add(uint64(n), event.IsRoutine(value))
		r.counter(counterDropped).Inc(int64(n))
	}
	r.publish(entry)
}

// recordHeader creates the entry of the header, if there is a header. The caller holds
// r.mu.
func (r *Recorder) recordHeader(now time.Time) {
	if r.header == nil {
		return
	}
	r.headerEntry = Entry{Stamp: r.clock.Next(now), At: now, Value: r.header}
	r.publish(r.headerEntry)
}

// ringFor returns the ring for a value of the given size in bytes.
func (r *Recorder) ringFor(value event.Event, size int) *ring[Entry] {
	if _, ok := value.(event.Note); ok {
		return r.notes
	}
	switch {
	case size >= minLargeBytes:
		return r.large
	case event.IsRoutine(value):
		return r.routine
	default:
		return r.general
	}
}

// counter returns the counter with the given name. The caller holds r.mu.
func (r *Recorder) counter(name string) metrics.Counter {
	c, ok := r.counters[name]
	if !ok {
		c = metrics.GetOrRegisterCounter(name, r.registry)
		r.counters[name] = c
	}
	return c
}

// logNote logs a note with the fields that are not empty.
func (r *Recorder) logNote(note event.Note) {
	e := r.log.Info()
	for _, field := range []struct{ key, value string }{
		{"model", note.Model},
		{"endpoint", note.Endpoint},
		{"request", note.Request},
		{"detail", note.Detail},
	} {
		if field.value != "" {
			e = e.Str(field.key, field.value)
		}
	}
	e.Msg(note.Change)
}

// Snapshot is the content of a recorder at one moment.
type Snapshot struct {
	// Entries contains the kept entries in the order of their stamps.
	Entries []Entry
	// Stamp is greater than the stamps of all entries and less than those of all that
	// are recorded later.
	Stamp event.Stamp
	// Dropped is the number of older entries that are no longer kept.
	Dropped DroppedCounts
}

// DroppedCounts contains the numbers of entries that were discarded because of the limits of a
// recorder.
type DroppedCounts struct {
	Routine uint64
	Others  uint64
}

// add adds n discarded entries.
func (d *DroppedCounts) add(n uint64, routine bool) {
	if routine {
		d.Routine += n
		return
	}
	d.Others += n
}

// CountFor returns the number of discarded entries that the filter might have matched.
// It only distinguishes routine entries from others.
func (d DroppedCounts) CountFor(f Filter) uint64 {
	if f.IncludeRoutine {
		return d.Routine + d.Others
	}
	return d.Others
}

// Snapshot returns the content of the recorder.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	s := r.copyEntries(now)
	slices.SortFunc(s.Entries, func(a, b Entry) int { return cmp.Compare(a.Stamp, b.Stamp) })
	return s
}

// copyEntries returns a snapshot whose entries are not sorted: those of each ring follow
// those of the ring before.
func (r *Recorder) copyEntries(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	if r.headerEntry.Value != nil {
		entries = append(entries, r.headerEntry)
	}
	for _, ring := range []*ring[Entry]{r.general, r.notes, r.routine, r.large} {
		entries = ring.appendTo(entries)
	}
	return Snapshot{Entries: entries, Stamp: r.clock.Next(now), Dropped: r.dropped}
}

// LatestNotes returns the latest kept note about each model.
func (r *Recorder) LatestNotes() map[fleet.ModelID]Entry {
	r.mu.Lock()
	notes := r.notes.appendTo(nil)
	r.mu.Unlock()
	latest := make(map[fleet.ModelID]Entry)
	for _, entry := range notes {
		if model := event.SubjectOf(entry.Value).Model; model != "" {
			latest[model] = entry
		}
	}
	return latest
}

// Line encodes an entry of this recorder.
func (r *Recorder) Line(e Entry) (event.Line, error) {
	line, err := event.Encode(e.At, string(r.process), e.Value.Kind(), e.Effect, e.Value)
	line.Stamp, line.Seq = e.Stamp, e.Seq
	return line, err
}

// Select returns the lines for those entries of a snapshot of this recorder that the
// filter matches, in the order of their stamps.
func (r *Recorder) Select(s Snapshot, f Filter) ([]event.Line, error) {
	var lines []event.Line
	for _, entry := range slices.Backward(s.Entries) {
		if f.MaxLines > 0 && len(lines) == f.MaxLines {
			break
		}
		if !f.matches(entry) {
			continue
		}
		l, err := r.Line(entry)
		if err != nil {
			return nil, err
		}
		if l.Body, err = limitBody(l.Body, f.MaxBodyBytes); err != nil {
			return nil, err
		}
		lines = append(lines, l)
	}
	slices.Reverse(lines)
	return lines, nil
}
