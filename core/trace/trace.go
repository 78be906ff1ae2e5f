// Package trace reads, writes and generates workload traces. A trace describes a deployment
// (its records and endpoints), the past requests for its models, and the requests and
// faults of a period to replay. It does not depend on any policy for keeping models loaded.
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

// Format is the format name in the header of a workload trace.
const Format = "chervilreach-workload-1"

// maxLineBytes limits the length of one line of a trace.
const maxLineBytes = 4 << 20

// ErrFormat is returned for a file that is not a workload trace.
var ErrFormat = errors.New("not a workload trace")

// Header is the first line of a trace.
type Header struct {
	Format string `json:"format"`
	// Scenario is the name of the scenario that the trace was generated from; see Scenarios.
	Scenario string `json:"shape"`
	Seed     uint64 `json:"seed"`
	// Start and End are the limits of the period of the trace. Arrivals and faults are given relative
	// to Start.
	Start       time.Time         `json:"starts"`
	End         time.Time         `json:"ends"`
	Deployment  record.Deployment `json:"deployment"`
	Kinds       []record.Kind     `json:"kinds"`
	Models      []record.Model    `json:"models"`
	Endpoints   []Endpoint        `json:"endpoints"`
	WeightStore WeightStore       `json:"store"`
}

// Endpoint is an endpoint of the deployment: a model engine on a host.
type Endpoint struct {
	ID            fleet.EndpointID    `json:"id"`
	Host          fleet.HostID        `json:"host"`
	FailureDomain fleet.FailureDomain `json:"failure-domain"`
	// Memory is the accelerator memory of the endpoint.
	Memory fleet.Bytes `json:"memory"`
}

// WeightStore describes the weight store. A load at full speed takes FixedMS milliseconds plus
// the size of the weights divided by BytesPerSecond.
type WeightStore struct {
	FixedMS        int64       `json:"fixed-ms"`
	BytesPerSecond fleet.Bytes `json:"bytes-per-second"`
}

// Line is a line after the header. Exactly one field is set.
type Line struct {
	History *History `json:"history,omitempty"`
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// History holds the times of the requests for a model before the trace starts, in whole
// seconds.
type History struct {
	Model fleet.ModelID `json:"model"`
	First time.Time     `json:"first"`
	// Gaps are the times in seconds from each request to the next, so there is one gap
	// fewer than requests.
	Gaps []int64 `json:"gaps-s"`
}

// Times returns the times of the requests, oldest first.
func (h *History) Times() []time.Time {
	at := h.First
	out := []time.Time{at}
	for _, gap := range h.Gaps {
		at = at.Add(time.Duration(gap) * time.Second)
		out = append(out, at)
	}
	return out
}

// Arrival is one request of a trace.
type Arrival struct {
	// AtMS is the arrival time in milliseconds after the start of the trace.
	AtMS    int64           `json:"at-ms"`
	Model   fleet.ModelID   `json:"model"`
	Adapter fleet.AdapterID `json:"adapter,omitempty"`
	Kind    fleet.KindID    `json:"kind"`
	// PromptTokens and OutputTokens are the lengths of the prompt and of the answer.
	PromptTokens int `json:"prompt"`
	OutputTokens int `json:"output"`
}

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultHostLost stops a host without notice. At UntilMS a new host starts that runs the
	// same endpoint.
	FaultHostLost FaultKind = "host-lost"
	// FaultStoreSlow divides the speed of the weight store by Factor.
	FaultStoreSlow FaultKind = "store-slow"
	// FaultKVDown makes the key-value service unavailable.
	FaultKVDown FaultKind = "kv-down"
)

// Fault is a fault that lasts from AtMS until UntilMS, in milliseconds after the start of
// the trace. Host is set for FaultHostLost and Factor for FaultStoreSlow.
type Fault struct {
	Kind    FaultKind    `json:"kind"`
	AtMS    int64        `json:"at-ms"`
	UntilMS int64        `json:"until-ms"`
	Host    fleet.HostID `json:"host,omitempty"`
	Factor  float64      `json:"factor,omitempty"`
}

// Trace is a complete workload trace. Arrivals and faults are in order of time; Read checks
// this for arrivals only.
type Trace struct {
	Header   Header
	History  []History
	Arrivals []Arrival
	Faults   []Fault
}

// Write writes the trace as JSON lines: the header, then the history, the faults and the
// arrivals.
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

// Read reads a trace in the format of Write. Errors name the line and, where known, the
// field. If the first line is not a valid header, the error wraps ErrFormat.
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
	knownModels := make(map[fleet.ModelID]bool)
	for _, m := range t.Header.Models {
		knownModels[m.ID] = true
	}
	for n := 2; sc.Scan(); n++ {
		if err := t.addLine(sc.Bytes(), knownModels); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return t, nil
}

// addLine decodes one line after the header and appends its value to the trace. The model
// must be in knownModels, and arrivals must be in order of time.
func (t *Trace) addLine(raw []byte, knownModels map[fleet.ModelID]bool) error {
	var l Line
	if err := decodeStrict(raw, &l); err != nil {
		return err
	}
	switch {
	case l.History != nil:
		if !knownModels[l.History.Model] {
			return fmt.Errorf("history.model: %q is not in the header", l.History.Model)
		}
		t.History = append(t.History, *l.History)
	case l.Fault != nil:
		t.Faults = append(t.Faults, *l.Fault)
	case l.Arrival != nil:
		if !knownModels[l.Arrival.Model] {
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

// decodeStrict decodes one JSON value into v and returns an error for unknown fields.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}
