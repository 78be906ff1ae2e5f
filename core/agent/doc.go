// Package agent implements the reducer of the agent, the process that runs on the
// host of an endpoint. Only the agent sends orders to the endpoint's engine: it accounts for
// accelerator memory, loads and unloads models, and admits and queues requests. It
// journals every request so that one that is not idempotent runs at most once.
package agent
