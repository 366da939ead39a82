// Package upstream sends requests to endpoints: it keeps a pool of connections, writes a request, reads the response or
// hands over its beginning to be streamed, and asks endpoints for their load.
//
// Which endpoint gets which request, and whether a request is sent again, is decided by the caller, the event loop of
// internal/sidecar. A Client sends exactly what it is told to, once, and reports a Result that says whether the request may
// have run.
package upstream
