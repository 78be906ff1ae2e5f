package agent

import (
	"time"

	"chervilreach/core/fleet"
)

// ModelReport describes the state of one model on this endpoint.
type ModelReport struct {
	Model fleet.ModelID `json:"model"`
	// Stage is one of cold, waiting, loading, warm, unloading, doubtful.
	Stage   string `json:"stage"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	// ReadyAt is the estimated time at which a new request would get its first byte, if the
	// model is not warm; zero if it is.
	ReadyAt    time.Time        `json:"ready-at,omitzero"`
	Generation fleet.Generation `json:"generation"`
}

// Report describes the state of this endpoint and counts its requests.
type Report struct {
	Instance    fleet.Instance    `json:"instance"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Confirmed   bool              `json:"confirmed"`
	Revision    fleet.Revision    `json:"revision"`
	Draining    bool              `json:"draining"`
	Queued      int               `json:"queued"`
	Running     int               `json:"running"`
	MemoryFree  fleet.Bytes       `json:"memory-free"`
	MemoryTotal fleet.Bytes       `json:"memory-total"`
	Models      []ModelReport     `json:"models,omitempty"`
}

// Report returns a snapshot of the endpoint's state and request counts. It must not be called concurrently
// with Apply.
func (s *State) Report(now time.Time) Report {
	rep := Report{
		Instance:    s.instance,
		Incarnation: s.incarnation,
		Confirmed:   s.incarnationConfirmed,
		Draining:    s.draining,
		Queued:      s.queuedRequests,
		Running:     s.runningRequests,
		MemoryFree:  s.ledger.freeBytes(),
		MemoryTotal: s.ledger.total,
	}
	if s.config != nil {
		rep.Revision = s.config.Revision
	}
	for _, r := range s.replicas() {
		if r.service != "" || (r.stage == stageCold && !r.assigned()) {
			continue
		}
		rep.Models = append(rep.Models, s.modelReport(now, r))
	}
	return rep
}

func (s *State) modelReport(now time.Time, r *replica) ModelReport {
	m := ModelReport{
		Model: r.model, Stage: r.stage.String(), Queued: r.queue.len(), Running: r.runningRequests,
		Generation: r.assignment.Generation,
	}
	if r.stage != stageWarm {
		m.ReadyAt = s.expectedFirstByte(now, r)
	}
	return m
}
