package balancer

// Actions is what a balancer asks of its host. Calls come from within event
// methods, in the order in which they are to take effect.
type Actions interface {
	// StartAttempt starts an attempt; timeout 0 means until the client's deadline.
	StartAttempt(id uint64, endpoint uint32, timeout Micros)
	// Reject is a final answer that promises that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint64)
	// CancelAttempt stops waiting for an attempt; its outcome still comes.
	CancelAttempt(id uint64, attempt int)
	// SetTimer asks for a Timer event with this token after delay.
	SetTimer(delay Micros, token uint32)
	// SendLoadProbe asks an endpoint for its load.
	SendLoadProbe(endpoint uint32)
	// SendGossip sends data to all other balancers; it may be lost. Valid during the call only.
	SendGossip(data []byte)
	// WatchEndpoints subscribes to discovery's changes, or ends that.
	WatchEndpoints(on bool)
	// Log records a line for on-call staff.
	Log(line string)
}
