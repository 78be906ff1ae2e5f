// Package relay decides, at a router that sends requests straight to endpoints,
// which endpoint serves a request, what waits, what is refused, what is tried
// again, and which loads the agents are asked for. It is a reducer: see package
// event.
package relay
