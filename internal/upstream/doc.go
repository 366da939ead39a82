// Package upstream sends requests to endpoints. It keeps a pool of connections, writes requests, reads responses or starts to
// stream them, and requests the load reports of endpoints.
//
// The caller, the event loop of internal/sidecar, decides which endpoint gets a request and whether the request is retried. A
// Client sends each request exactly once and returns a Result that says whether the request may have run.
package upstream
