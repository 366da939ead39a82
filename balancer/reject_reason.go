package balancer

// RejectReason tells why a request was rejected. No decision depends on it.
type RejectReason uint8

// The reasons, in the order in which they are checked.
const (
	notRejected          RejectReason = iota
	RejectUnknownClass                // the settings have no such class
	RejectDeadlinePassed              // its deadline has passed
	RejectUnanswered                  // more than Limits.MaxUnanswered requests are unanswered
	RejectNoEndpoint                  // it may not be sent to any endpoint
	RejectLatency                     // its predicted latency is over its budget
	RejectBreaker                     // the breakers dropped it
	RejectAttemptFailed               // an attempt failed and is not retried
	RejectReasonCount                 // the number of reasons
)

// String returns the name of the reason in logs.
func (r RejectReason) String() string {
	return [RejectReasonCount]string{"none", "unknown_class", "deadline_passed", "too_many_unanswered",
		"no_endpoint", "predicted_latency", "breaker", "attempt_failed"}[r]
}
