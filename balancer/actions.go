package balancer

// Actions is what a balancer asks of its host. The methods are called within the methods of Balancer, in
// the order in which they are to take effect, and must not call back.
type Actions interface {
	// StartAttempt sends a request to an endpoint. The attempts of a request count from 0. A timeout of 0
	// means until the client's deadline.
	StartAttempt(id uint64, endpoint uint32, timeout Micros)
	// Reject answers a request, with the promise that a retry is harmless; retryAfter of 0 names no time.
	// The reason is for logs.
	Reject(id uint64, retryAfter Micros, reason RejectReason)
	// Fail answers a request and promises nothing.
	Fail(id uint64)
	// CancelAttempt stops waiting for an attempt. Its outcome is still reported.
	CancelAttempt(id uint64, attempt int)
	// SetTimer asks for Balancer.TimerFired with this token after a delay, which is positive.
	SetTimer(delay Micros, token uint32)
	// SendLoadProbe asks an endpoint for a load report. Balancer.LoadProbeResult gets the answer.
	SendLoadProbe(endpoint uint32)
	// SendGossip sends a message to all other balancers of the tier; it may be lost. data is valid during
	// the call only.
	SendGossip(data []byte)
	// WatchEndpoints subscribes to the endpoint list (on), or ends that. Balancer.UpdateEndpoints gets the
	// answers.
	WatchEndpoints(on bool)
	// Log records an event for the staff on call: a constant message and fields whose keys are stable.
	Log(message string, fields ...LogField)
}

// LogField is a value of a log line with its key.
type LogField struct {
	Key   string
	Value any
}
