// Package sidecar runs a balancer.Balancer on real sockets: it serves HTTP to the application on the same machine, connects to
// endpoints and follows the endpoint list in discovery. All load-balancing decisions are made by the balancer.
//
// Run wires the parts together. They are listed here in the order in which a request passes through them:
//
//   - client_conns.go, client_conn.go, client_conn_read.go, client_conn_close.go, request_framing.go: client connections and their
//     limits
//   - request_handler.go, request_parser.go, request_body.go: requests and responses
//   - request_memory.go, memory_limits.go: the memory of requests, from the first byte of a head to the response
//   - upload.go, last_byte_bound.go: bodies that are not buffered, and their requests' deadlines
//   - event_loop.go: the event loop. Its goroutine alone uses the balancer; all other goroutines post events to it. post appends
//     an event to the queue; postUrgent, for operators' calls, runs an event ahead of the queue.
//   - requests.go, endpoints.go: the loop's state of requests and endpoints, and the events that change it
//   - attempts.go, actions.go, discovery_watch.go, membership.go: the balancer's actions, and the events that report their results
//   - package upstream: connections to endpoints, attempts and load probes
//
// Not on the path of a request are the operators' calls (admin.go), the state that two processes of one sidecar share during an
// upgrade (handover.go), the state that is persisted across restarts (snapshot.go) and the status line that is logged each second
// (status_log.go).
//
// Hollow (hollow.go, event_costs.go) is the same sidecar without sockets, for the lab.
package sidecar
