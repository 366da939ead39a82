package balancer

// RejectReason says why a request was rejected. The decision does not depend on it.
type RejectReason uint8

// The reasons, in the order in which they are asked for.
const (
	notRejected          RejectReason = iota
	RejectUnknownClass                // the settings have no such class
	RejectDeadlinePassed              // its time is over
	RejectUnanswered                  // too many requests are unanswered
	RejectNoEndpoint                  // no endpoint may be sent it
	RejectLatency                     // its predicted latency is over its budget
	RejectBreaker                     // the breakers dropped it
	RejectAttemptFailed               // an attempt failed and is not retried
	RejectReasons                     // how many there are
)

// String returns the reason as logs name it.
func (r RejectReason) String() string {
	return [RejectReasons]string{"none", "unknown_class", "deadline_passed", "too_many_unanswered",
		"no_endpoint", "predicted_latency", "breaker", "attempt_failed"}[r]
}
