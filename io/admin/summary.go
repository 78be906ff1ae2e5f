package admin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"chervilreach/core/fleet"
)

// Summary is the state of all processes, put together from their statuses.
type Summary struct {
	Processes    []ProcessSummary  `json:"processes"`
	Revisions    []RevisionSummary `json:"accepted-revisions"`
	RecordErrors []RecordError     `json:"record-errors"`
	// ConvictedParts are the convictions of prompt parts, sorted by part.
	ConvictedParts []ConvictionSummary `json:"convicted-parts"`
	Models         []ModelSummary      `json:"models"`
}

// ProcessSummary is the status of one process, or the error of the request for it.
type ProcessSummary struct {
	Target Target  `json:"target"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// RevisionSummary contains the processes in which an accepted revision is in effect.
type RevisionSummary struct {
	Revision  fleet.Revision    `json:"revision"`
	Processes []fleet.ProcessID `json:"processes"`
}

// ConvictionSummary is the latest conviction of a prompt part, with the processes that have the part
// as convicted.
type ConvictionSummary struct {
	ConvictedPart
	Processes []fleet.ProcessID `json:"processes"`
}

// ModelSummary contains the state of a model on each endpoint, and the number of
// endpoints by state.
type ModelSummary struct {
	Model          fleet.ModelID `json:"model"`
	WarmCount      int           `json:"warm"`
	LoadingCount   int           `json:"loading"`
	UnloadingCount int           `json:"unloading"`
	// WaitingCount is the number of endpoints that wait for a permit to load the model.
	WaitingCount int `json:"waiting"`
	// DoubtfulCount is the number of endpoints with an order for the model of unknown
	// outcome.
	DoubtfulCount int `json:"doubtful"`
	// ColdCount is the number of endpoints that may load the model but have not.
	ColdCount int     `json:"cold"`
	Places    []Place `json:"places"`
}

// Place is the state of a model on one endpoint.
type Place struct {
	Endpoint fleet.EndpointID `json:"endpoint"`
	// Source is the process that reported the state: the agent of the endpoint or, if it
	// did not answer, the router with the latest report of the endpoint.
	Source fleet.ProcessID `json:"source"`
	ModelStatus
}

// States of models that agents report in addition to the states that engines report.
const (
	// StateCold means that the endpoint may load the model but has not.
	StateCold fleet.LoadState = "cold"
	// StateWaiting means that the endpoint waits for a permit to load the model.
	StateWaiting fleet.LoadState = "waiting"
	// StateDoubtful means that the outcome of an order for the model is unknown. The
	// memory of the model stays reserved.
	StateDoubtful fleet.LoadState = "doubtful"
)

// Failed returns the processes that did not answer.
func (s Summary) Failed() []ProcessSummary {
	var failed []ProcessSummary
	for _, p := range s.Processes {
		if p.Error != "" {
			failed = append(failed, p)
		}
	}
	return failed
}

// Summarize requests the status of all targets, each with the given timeout, and puts
// them together.
func (c *Client) Summarize(ctx context.Context, targets []Target, timeout time.Duration) Summary {
	return Summarize(QueryAll(ctx, targets, timeout, c.Status))
}

// Summarize returns the summary of the statuses that processes have returned.
func Summarize(answers []Answer[Status]) Summary {
	s := Summary{Processes: []ProcessSummary{}}
	var statuses []Status
	for _, a := range answers {
		p := ProcessSummary{Target: a.Target}
		if a.Err != nil {
			p.Error = a.Err.Error()
		} else {
			p.Status = &a.Value
			statuses = append(statuses, a.Value)
		}
		s.Processes = append(s.Processes, p)
	}
	s.Revisions = revisionSummaries(statuses)
	s.RecordErrors = recordErrors(statuses)
	s.ConvictedParts = convictionSummaries(statuses)
	s.Models = modelSummaries(latestReports(statuses))
	return s
}

// revisionSummaries groups the processes by accepted revision, the highest one first.
func revisionSummaries(statuses []Status) []RevisionSummary {
	at := make(map[fleet.Revision][]fleet.ProcessID)
	for _, status := range statuses {
		at[status.Revision] = append(at[status.Revision], status.Process)
	}
	list := make([]RevisionSummary, 0, len(at))
	for _, revision := range slices.Backward(slices.Sorted(maps.Keys(at))) {
		list = append(list, RevisionSummary{Revision: revision, Processes: at[revision]})
	}
	return list
}

// recordErrors returns the distinct record errors of all processes, sorted by record.
func recordErrors(statuses []Status) []RecordError {
	list := []RecordError{}
	for _, status := range statuses {
		list = append(list, status.RecordErrors...)
	}
	slices.SortFunc(list, func(a, b RecordError) int {
		return cmp.Or(
			cmp.Compare(a.Record, b.Record),
			cmp.Compare(a.Revision, b.Revision),
			cmp.Compare(a.Detail, b.Detail),
		)
	})
	return slices.Compact(list)
}

// convictionSummaries returns the latest conviction of each part.
func convictionSummaries(statuses []Status) []ConvictionSummary {
	byPart := make(map[string]*ConvictionSummary)
	for _, status := range statuses {
		for _, p := range status.ConvictedParts {
			sum, ok := byPart[p.Part]
			if !ok {
				sum = &ConvictionSummary{ConvictedPart: p}
				byPart[p.Part] = sum
			}
			if p.AgeMs < sum.AgeMs {
				sum.ConvictedPart = p
			}
			sum.Processes = append(sum.Processes, status.Process)
		}
	}
	list := make([]ConvictionSummary, 0, len(byPart))
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		list = append(list, *byPart[part])
	}
	return list
}

// endpointReport is the state of an endpoint as one process reports it.
type endpointReport struct {
	source      fleet.ProcessID
	incarnation fleet.Incarnation
	sequence    uint64
	models      []ModelStatus
}

// isNewerThan reports whether r is a later report of the same endpoint than other.
func (r endpointReport) isNewerThan(other endpointReport) bool {
	if r.incarnation != other.incarnation {
		return r.incarnation > other.incarnation
	}
	return r.sequence > other.sequence
}

// latestReports returns one report for each endpoint: that of its agent or, if the agent
// did not answer, the latest one that a router has.
func latestReports(statuses []Status) map[fleet.EndpointID]endpointReport {
	latest := make(map[fleet.EndpointID]endpointReport)
	for _, status := range statuses {
		if status.Router == nil {
			continue
		}
		for _, e := range status.Router.Endpoints {
			report := endpointReport{
				source:      status.Process,
				incarnation: e.Incarnation,
				sequence:    e.Sequence,
				models:      e.Models,
			}
			if old, ok := latest[e.Endpoint]; !ok || report.isNewerThan(old) {
				latest[e.Endpoint] = report
			}
		}
	}
	for _, status := range statuses {
		if status.Agent != nil {
			latest[status.Agent.Endpoint] = endpointReport{source: status.Process, models: status.Agent.Models}
		}
	}
	return latest
}

// modelSummaries returns the summaries of all models in the reports, sorted by ID. The
// places of each are sorted by endpoint.
func modelSummaries(reports map[fleet.EndpointID]endpointReport) []ModelSummary {
	byModel := make(map[fleet.ModelID]*ModelSummary)
	for _, endpoint := range slices.Sorted(maps.Keys(reports)) {
		report := reports[endpoint]
		for _, m := range report.models {
			sum, ok := byModel[m.Model]
			if !ok {
				sum = &ModelSummary{Model: m.Model}
				byModel[m.Model] = sum
			}
			sum.add(Place{Endpoint: endpoint, Source: report.source, ModelStatus: m})
		}
	}
	list := make([]ModelSummary, 0, len(byModel))
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		list = append(list, *byModel[model])
	}
	return list
}

// add adds the state of the model on one endpoint.
func (m *ModelSummary) add(p Place) {
	m.Places = append(m.Places, p)
	switch p.State {
	case fleet.LoadStateWarm:
		m.WarmCount++
	case fleet.LoadStateLoading:
		m.LoadingCount++
	case fleet.LoadStateUnloading:
		m.UnloadingCount++
	case StateWaiting:
		m.WaitingCount++
	case StateDoubtful:
		m.DoubtfulCount++
	default:
		m.ColdCount++
	}
}
