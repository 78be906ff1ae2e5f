// Package relay implements the decisions of a router that sends requests
// straight to endpoints: endpoint selection, queueing, refusals, retries, and
// the models and adapters that agents are asked to load.
//
// State is a reducer: it consumes events and returns effects, without I/O,
// clocks or goroutines. Package event describes the contract. A State is not
// safe for concurrent use.
package relay
