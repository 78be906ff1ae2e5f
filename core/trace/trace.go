// Package trace reads, writes and generates workload traces: the records and
// endpoints of a deployment, what its models were asked before, and the
// arrivals and faults of a stretch of time. It knows nothing of policies.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"chervilreach/core/fleet"
	"chervilreach/core/record"
)

// Format marks the first line of a workload trace.
const Format = "chervilreach-workload-1"

// maxLine bounds one line of a trace.
const maxLineBytes = 4 << 20

// ErrFormat says that a file is not a workload trace.
var ErrFormat = errors.New("not a workload trace")

// Header is the first line of a trace.
type Header struct {
	Format string `json:"format"`
	Shape  string `json:"shape"`
	Seed   uint64 `json:"seed"`
	// Starts and Ends bound the arrivals.
	Starts     time.Time         `json:"starts"`
	Ends       time.Time         `json:"ends"`
	Deployment record.Deployment `json:"deployment"`
	Kinds      []record.Kind     `json:"kinds"`
	Models     []record.Model    `json:"models"`
	Endpoints  []Endpoint        `json:"endpoints"`
	Store      Store             `json:"store"`
}

// Endpoint is one model engine.
type Endpoint struct {
	ID     fleet.EndpointID    `json:"id"`
	Host   fleet.HostID        `json:"host"`
	Domain fleet.FailureDomain `json:"failure-domain"`
	Memory fleet.Bytes         `json:"memory"`
}

// Store gives the time of a load at full speed: a fixed part and one by size.
type Store struct {
	FixedMS        int64       `json:"fixed-ms"`
	BytesPerSecond fleet.Bytes `json:"bytes-per-second"`
}

// Line is one line after the header; one of its fields is set.
type Line struct {
	History *History `json:"history,omitempty"`
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// History tells when a model was asked before the trace starts.
type History struct {
	Model fleet.ModelID `json:"model"`
	First time.Time     `json:"first"`
	// Gaps are the seconds from each request to the next.
	Gaps []int64 `json:"gaps-s"`
}

// Times returns the times of the requests.
func (h *History) Times() []time.Time {
	at := h.First
	out := []time.Time{at}
	for _, gap := range h.Gaps {
		at = at.Add(time.Duration(gap) * time.Second)
		out = append(out, at)
	}
	return out
}

// Arrival is one request.
type Arrival struct {
	// AtMS is in milliseconds after the start.
	AtMS    int64           `json:"at-ms"`
	Model   fleet.ModelID   `json:"model"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
	Kind    fleet.KindID    `json:"kind"`
	// Prompt and Output are in tokens.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
}

// FaultKind names what fails or recovers.
type FaultKind string

// The kinds of faults.
const (
	// FaultHostLost ends a host without notice; a new one runs its endpoint
	// from Until on.
	FaultHostLost FaultKind = "host-lost"
	// FaultStoreSlow divides the speed of the weight store by Factor.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultKVDown takes the key-value service away.
	FaultKVDown FaultKind = "kv-down"
)

// Fault lasts from AtMS until UntilMS, in milliseconds after the start.
type Fault struct {
	Kind    FaultKind    `json:"kind"`
	AtMS    int64        `json:"at-ms"`
	UntilMS int64        `json:"until-ms"`
	Host    fleet.HostID `json:"host,omitempty"`
	Factor  float64      `json:"factor,omitempty"`
}

// Trace is a whole workload trace. Arrivals and faults are in order of time.
type Trace struct {
	Header   Header
	History  []History
	Arrivals []Arrival
	Faults   []Fault
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	values := []any{t.Header}
	for i := range t.History {
		values = append(values, Line{History: &t.History[i]})
	}
	for i := range t.Faults {
		values = append(values, Line{Fault: &t.Faults[i]})
	}
	for i := range t.Arrivals {
		values = append(values, Line{Arrival: &t.Arrivals[i]})
	}
	for _, v := range values {
		if err := enc.Encode(v); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return buf.Flush()
}

// Read reads a trace. Errors name the line and, where known, the field.
func Read(r io.Reader) (*Trace, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	if !sc.Scan() {
		return nil, errors.Join(fmt.Errorf("line 1: %w", ErrFormat), sc.Err())
	}
	t := &Trace{}
	if err := decodeStrict(sc.Bytes(), &t.Header); err != nil || t.Header.Format != Format {
		return nil, errors.Join(fmt.Errorf("line 1: format: %w", ErrFormat), err)
	}
	known := make(map[fleet.ModelID]bool)
	for _, m := range t.Header.Models {
		known[m.ID] = true
	}
	for n := 2; sc.Scan(); n++ {
		if err := t.addLine(sc.Bytes(), known); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return t, nil
}

// line takes in one line after the header.
func (t *Trace) addLine(raw []byte, known map[fleet.ModelID]bool) error {
	var l Line
	if err := decodeStrict(raw, &l); err != nil {
		return err
	}
	switch {
	case l.History != nil:
		if !known[l.History.Model] {
			return fmt.Errorf("history.model: %q is not in the header", l.History.Model)
		}
		t.History = append(t.History, *l.History)
	case l.Fault != nil:
		t.Faults = append(t.Faults, *l.Fault)
	case l.Arrival != nil:
		if !known[l.Arrival.Model] {
			return fmt.Errorf("arrival.model: %q is not in the header", l.Arrival.Model)
		}
		if n := len(t.Arrivals); n > 0 && l.Arrival.AtMS < t.Arrivals[n-1].AtMS {
			return fmt.Errorf("arrival.at-ms: %d is before the last arrival", l.Arrival.AtMS)
		}
		t.Arrivals = append(t.Arrivals, *l.Arrival)
	default:
		return errors.New("none of history, arrival and fault")
	}
	return nil
}

// strict decodes JSON without unknown fields.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
