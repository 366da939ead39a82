package balancer

// EndpointState is the state of an endpoint according to discovery.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready    EndpointState = iota
	Draining               // finishes its requests in flight; no new ones are sent to it
	Removed
)

// Endpoint is one entry of the endpoint list from discovery.
type Endpoint struct {
	ID          uint32
	Zone        uint8
	MachineType uint8
	Pod         uint16
	State       EndpointState
	Weight      float32 // capacity relative to the other endpoints
	StartTime   Micros  // time of its latest start; 0 for long ago
}

// UpdateKind defines how the entries of an endpoint update are interpreted.
type UpdateKind uint8

// The kinds of endpoint update.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list from a cache, possibly out of date
	UpdateFailed                   // a discovery call failed or a subscription broke; no entries
)

// Request is a client's request. It is answered exactly once: by the response of an attempt, a rejection
// or a failure.
type Request struct {
	ID          uint64
	Key         uint64
	Deadline    Micros // when the client gives up; BodySent replaces it for an upload
	CostHint    Micros // expected service time; valid if HasCostHint
	HasCostHint bool
	IsRetry     bool // the client marked it as a retry
	IsUploading bool // its body is still arriving; BodySent reports the end
	IsWrite     bool
	Tenant      uint16 // index in Settings.Tenants
	Class       uint8  // index in Settings.Classes
	Prior       PriorAttempt
}

// PriorAttempt tells of an earlier request that the client sent under the same ID: it left before it was
// answered, or sent that request to another process of this sidecar. The zero value means that there is none,
// or that it did not run.
type PriorAttempt struct {
	MayHaveRun bool
	Zone       uint8 // of the endpoint, like Pod; valid if MayHaveRun
	Pod        uint16
	SentAt     Micros
}

// Status is the result of an attempt or a load probe.
type Status uint8

// The ways in which an attempt may end. Rejected, ConnectFailed and NotSent prove that the endpoint did not
// execute the request. After Error, Timeout, Reset and Cancelled it is unknown whether it did.
const (
	OK            Status = iota
	Error                // the endpoint answered with an error
	Rejected             // the endpoint rejected the request without executing it
	Timeout              // no response in time
	ConnectFailed        // no connection, or it broke before the last byte of the request was sent
	Reset                // the connection broke
	Cancelled            // by the balancer, or the client's fault, such as a 400 or 404 from the endpoint
	NotSent              // never sent
)

var statusNames = [...]string{
	"ok", "error", "rejected", "timeout", "connect failed", "reset", "cancelled", "not sent",
}

// String returns the name of a status for log lines.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// ProvesNotRun reports whether an attempt with this status was certainly not executed.
func (s Status) ProvesNotRun() bool {
	return s == Rejected || s == ConnectFailed || s == NotSent
}

// Outcome describes the end of an attempt.
type Outcome struct {
	ID           uint64 // of the request
	Attempt      int    // number of the attempt, from 0
	Endpoint     uint32
	Status       Status
	Latency      Micros    // from the start of the attempt
	SentAt       Micros    // when the host began to send the request; 0 for the start of the attempt
	RequestDone  bool      // the client has its response: no answer is needed
	BodyConsumed bool      // part of the request body is consumed: it cannot be sent again
	LoadReport   []float32 // valid during the call only; no decision reads it
}
