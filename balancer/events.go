package balancer

// EndpointState is what discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	ID          uint32
	Zone        uint8
	MachineType uint8
	Pod         uint16
	State       EndpointState
	Weight      float32
	StartTime   Micros // of its latest start; 0 for long ago
}

// UpdateKind says how the entries of a membership event are to be read.
type UpdateKind uint8

// The kinds of membership event.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last held; perhaps old
	UpdateFailed                   // a call of discovery failed; no entries
)

// Request is a client's request. One final answer is owed for it: an outcome
// that settles it, a refusal or a failure.
type Request struct {
	ID          uint64
	Key         uint64
	Deadline    Micros // the instant at which the client gives this try up
	CostHint    Micros // expected work; used if HasHint
	HasCostHint bool
	IsRetry     bool // the client marked it as a repetition
	IsUploading bool // its body still comes: Uploaded tells its end, from which its time runs
	IsWrite     bool
	Tenant      uint16
	Class       uint8
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Full, ConnectFailed and Moot prove that it
// never ran; all others but OK leave that open.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Rejected             // turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // withdrawn by the balancer
	NotSent              // never sent
)

var statusNames = [...]string{
	"ok", "error", "full", "timeout", "connect failed", "reset", "cancelled", "moot",
}

func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Outcome tells how an attempt ended. Load is valid during the call only.
type Outcome struct {
	ID           uint64
	Attempt      int // the attempts of a request count from 0 as sent
	Endpoint     uint32
	Status       Status
	Latency      Micros
	RequestDone  bool // the request has its final answer
	BodyConsumed bool // part of the request's body is gone: it cannot be sent again
	LoadReport   []float32
}
