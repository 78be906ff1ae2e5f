// Package swap implements the reducer of an agent, the process that manages the
// models and adapters of one model endpoint: it decides which item the endpoint
// loads next and which one it evicts to make room. See package event for
// reducers, events and effects.
//
// It serves deployments on the users' platform, where the routers of package relay send
// requests directly to endpoints. Package agent has the agent of other deployments,
// through which all requests of its endpoint pass.
//
// An item is a model or one of its adapters. A victim is the item that is unloaded to
// make room for a requested one.
package swap
