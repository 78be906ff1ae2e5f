// Package relay implements the decisions of a router that sends requests
// straight to endpoints: endpoint selection, queueing, refusals, retries, and
// the models and adapters that agents are asked to load.
//
// It serves deployments on the users' platform, together with the agents of package
// swap. Package router has the other kind of router, which sends every request through
// an agent of package agent.
//
// Terms of this package:
//   - An item is a model or one of its adapters.
//   - A holder of an item is an endpoint that has it loaded. Each loaded model is a
//     replica of that model; weights that are only cached on a host are no replica.
//   - The stock of an endpoint is the state of its models: loaded models, loads in
//     progress and cached weights. It comes from the reports of the endpoint's agent,
//     or from the endpoint list, which may be older.
//   - The router follows an agent if it keeps a connection to it, over which it
//     receives reports and sends demands. In a large fleet it follows only some agents.
//   - A demand is what the router sends to an agent: the loads that it requests from
//     the endpoint, and its traffic for the models there.
//   - The weight store serves model weights to all endpoints. The store, without a
//     qualifier, is the platform's key-value store.
//   - An attempt sends a request to one endpoint. A request may take several attempts.
//
// State is a reducer: it consumes events and returns effects, without I/O,
// clocks or goroutines. Package event describes the contract. A State is not
// safe for concurrent use.
package relay
