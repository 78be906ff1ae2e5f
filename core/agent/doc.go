// Package agent implements the reducer of the agent, the process that runs on the
// host of an endpoint. Only the agent sends orders to the endpoint's engine: it accounts for
// accelerator memory, loads and unloads models, and admits and queues requests. It
// journals every request so that one that is not idempotent runs at most once.
//
// The agent belongs to the deployment on hosts with a key-value service, with package router
// as its counterpart. Package swap is the agent of the deployment on the users' platform.
//
// Terms of this package:
//   - A placement, stored in the key-value service, names the endpoints that may hold a model.
//     An assignment is the part of it that concerns one endpoint.
//   - An agent takes an incarnation from the key-value service when it starts. Orders carry it
//     in their fence, so that an engine can refuse orders of an agent that has been replaced. An
//     instance is one run of the process; its journal is lost when the run ends.
//   - A router grants permits for loads from the weight store, which all endpoints share.
//   - The tombstone of a request is a journal entry that keeps the request from ever starting.
//   - A replica is a model, loaded or not, on this endpoint. It is doubtful while the outcome of
//     its last order is unknown. A plain service is not a model and needs no load.
//   - The warm floor of a model is the number of endpoints that always keep it loaded.
//   - StreamID in events and effects identifies the stream from a router on which a message
//     arrived and on which the agent replies to it.
package agent
