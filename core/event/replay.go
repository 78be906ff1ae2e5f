package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// ErrReplayDiffers is the error of a replay whose effects differ from the recorded ones.
var ErrReplayDiffers = errors.New("replay differs from the record")

// DifferenceError describes the first difference between a replay and the recording.
// It wraps ErrReplayDiffers.
type DifferenceError struct {
	// LineNumber is the number of the line in the replayed lines, from 1.
	LineNumber int
	// Event is the last event that was applied.
	Event Line
	// Want is the recorded effect and Got the replayed one, each as its kind and
	// JSON body. An empty string means that there was no further effect.
	Want string
	Got  string
}

// Error implements error.
func (d *DifferenceError) Error() string {
	return fmt.Sprintf("line %d: after event %s at %s: want effect %s, got %s",
		d.LineNumber, d.Event.Kind, d.Event.At, orNone(d.Want), orNone(d.Got))
}

// Unwrap returns ErrReplayDiffers.
func (*DifferenceError) Unwrap() error { return ErrReplayDiffers }

// orNone returns the effect, or "none" if it is empty.
func orNone(effect string) string {
	if effect == "" {
		return "none"
	}
	return effect
}

// timeTolerance is the maximum difference at which recorded and replayed times in
// effects count as equal. A deadline created outside the loop has a wall clock and a
// monotonic clock reading that were taken at slightly different moments, and only
// the wall clock reading is recorded.
const timeTolerance = time.Microsecond

// Replay applies the recorded events of one process to a new reducer, at their
// recorded times, and compares the resulting effects with the recorded ones. The
// lines must begin with the first event of the process. Times in effects may differ
// by one microsecond. Replay stops at the first error and returns the number of
// events applied. The error is a *DifferenceError if the effects differ.
func Replay(reducer Reducer, registry *Registry, lines []Line) (int, error) {
	r := replayer{reducer: reducer, registry: registry}
	for i, line := range lines {
		r.lineNumber = i + 1
		handle := r.compareEffect
		if !line.Effect {
			handle = r.applyEvent
		}
		if err := handle(line); err != nil {
			return r.appliedEvents, err
		}
	}
	return r.appliedEvents, r.checkNoUnmatchedEffect()
}

// replayer holds the state of one call of Replay.
type replayer struct {
	reducer  Reducer
	registry *Registry
	// lineNumber is the number of the current line, from 1.
	lineNumber int
	// appliedEvents is the number of events applied.
	appliedEvents int
	lastEvent     Line
	// replayed holds the effects of lastEvent that have not been compared yet.
	replayed []Effect
}

// applyEvent applies a recorded event, after all effects of the previous one have
// been compared.
func (r *replayer) applyEvent(line Line) error {
	if err := r.checkNoUnmatchedEffect(); err != nil {
		return err
	}
	ev, err := r.registry.Decode(line)
	if err != nil {
		return fmt.Errorf("line %d: %w", r.lineNumber, err)
	}
	r.appliedEvents++
	r.lastEvent = line
	r.replayed = r.reducer.Apply(line.At, ev)
	return nil
}

// compareEffect compares a recorded effect with the next replayed one.
func (r *replayer) compareEffect(line Line) error {
	if len(r.replayed) == 0 {
		return r.difference(describe(line.Kind, line.Body), "")
	}
	replayed := r.replayed[0]
	body, err := json.Marshal(replayed)
	if err != nil {
		return fmt.Errorf("line %d: encode %s: %w", r.lineNumber, replayed.Kind(), err)
	}
	if replayed.Kind() != line.Kind || !jsonMatches(body, line.Body) {
		return r.difference(describe(line.Kind, line.Body), describe(replayed.Kind(), body))
	}
	r.replayed = r.replayed[1:]
	return nil
}

// checkNoUnmatchedEffect returns an error if a replayed effect is left that was not
// recorded.
func (r *replayer) checkNoUnmatchedEffect() error {
	if len(r.replayed) == 0 {
		return nil
	}
	body, err := json.Marshal(r.replayed[0])
	if err != nil {
		return fmt.Errorf("line %d: encode %s: %w", r.lineNumber, r.replayed[0].Kind(), err)
	}
	return r.difference("", describe(r.replayed[0].Kind(), body))
}

// difference returns the error for a difference at the current line.
func (r *replayer) difference(want, got string) error {
	return &DifferenceError{LineNumber: r.lineNumber, Event: r.lastEvent, Want: want, Got: got}
}

// describe returns an effect as text: its kind and its JSON body.
func describe(kind string, body []byte) string {
	return kind + " " + string(body)
}

// jsonMatches reports whether two JSON values have the same tokens in the same
// order. Times match if they differ by at most timeTolerance.
func jsonMatches(a, b []byte) bool {
	if bytes.Equal(a, b) {
		return true
	}
	first, second := json.NewDecoder(bytes.NewReader(a)), json.NewDecoder(bytes.NewReader(b))
	first.UseNumber()
	second.UseNumber()
	for {
		x, err := first.Token()
		y, otherErr := second.Token()
		if err != nil || otherErr != nil {
			return errors.Is(err, io.EOF) && errors.Is(otherErr, io.EOF)
		}
		if x != y && !timesMatch(x, y) {
			return false
		}
	}
}

// timesMatch reports whether both tokens are times in RFC 3339 format that differ by
// at most timeTolerance.
func timesMatch(a, b json.Token) bool {
	var times [2]time.Time
	for i, token := range []json.Token{a, b} {
		text, ok := token.(string)
		if !ok {
			return false
		}
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return false
		}
		times[i] = t
	}
	return times[0].Sub(times[1]).Abs() <= timeTolerance
}
