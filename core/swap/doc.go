// Package swap implements the reducer of an agent, the process that manages the
// models and adapters of one model endpoint: it decides which item the endpoint
// loads next and which one it evicts to make room. See package event for
// reducers, events and effects.
package swap
