// Package sidecar runs a balancer.Balancer on real sockets: an HTTP server for the application beside it, connections to
// endpoints, and a watch of the endpoint list in discovery. Every decision is the balancer's.
//
// Run wires the parts together, in this order of a request's way:
//
//   - client_conns.go, client_conn.go, request_framing.go: the clients' connections and their limits
//   - request_handler.go, request_parser.go, request_body.go: requests and responses
//   - event_loop.go: the event loop, whose goroutine is the one owner of the balancer. Everything else posts events to it: post
//     waits for its turn, postUrgent, for operators' calls, goes ahead of the queue.
//   - requests.go, endpoints.go: what the loop keeps of requests and endpoints, and their events
//   - attempts.go, actions.go, discovery_watch.go, membership.go: the balancer's actions, and what reports on them
//   - package upstream: connections to endpoints, attempts and load probes
//
// Beside that way stand the operators' calls (admin.go), the state that two processes of one sidecar share during an upgrade
// (handover.go), the state that outlives the process (snapshot.go) and the log line of each second (status_log.go).
//
// Hollow (hollow.go, event_costs.go) is the same sidecar without sockets, for the lab.
package sidecar
