// Package swap decides, at the agent beside a model endpoint, which models and
// adapters the endpoint holds: which load is ordered next and what makes room
// for it. It is a reducer: see package event.
package swap
