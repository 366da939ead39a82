package lab

import "sync/atomic"

// borne counts what one stand-in was asked.
type borne struct {
	probes atomic.Int64 // for load reports
	calls  atomic.Int64 // all other requests
}
