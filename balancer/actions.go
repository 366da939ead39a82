package balancer

// Actions is the interface through which a balancer instructs its host. The balancer calls these methods
// from within its own methods, in the order in which they take effect. They must not call the balancer.
type Actions interface {
	// StartAttempt sends a request to an endpoint. The attempts of a request are numbered from 0. A timeout
	// of 0 means that the attempt may last until the client's deadline.
	//
	// A sendBefore other than 0 is the time from which the attempt is no longer safe. A host that needs time
	// to connect must not send the last byte of the request from then on; it reports NotSent instead.
	StartAttempt(id uint64, endpoint uint32, timeout, sendBefore Micros)
	// Reject answers a request with a rejection, which promises that a retry by the client is harmless.
	// retryAfter is the delay before a retry that is suggested to the client; 0 suggests none. The reason is
	// for logs.
	Reject(id uint64, retryAfter Micros, reason RejectReason)
	// Fail answers a request with a failure, which makes no promise about a retry.
	Fail(id uint64)
	// CancelAttempt stops waiting for an attempt. Its outcome is still reported.
	CancelAttempt(id uint64, attempt int)
	// SetTimer schedules a call of Balancer.TimerFired with this token after a positive delay.
	SetTimer(delay Micros, token uint32)
	// SendLoadProbe asks an endpoint for a load report. The host passes the answer to
	// Balancer.LoadProbeResult.
	SendLoadProbe(endpoint uint32)
	// SendGossip sends a message, which may be lost, to all other balancers of the tier. data is valid only
	// during the call.
	SendGossip(data []byte)
	// WatchEndpoints subscribes to the endpoint list if on is true, and ends the subscription otherwise. The
	// host passes the answers to Balancer.UpdateEndpoints.
	WatchEndpoints(on bool)
	// Log writes a log line for the operators: a constant message and fields with stable keys.
	Log(message string, fields ...LogField)
}

// LogField is a key and its value in a log line.
type LogField struct {
	Key   string
	Value any
}
