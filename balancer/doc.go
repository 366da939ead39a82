// Package balancer makes the decisions of a client-side load-balancing sidecar: where a request goes,
// whether it is retried, rejected or failed, and when endpoints are probed and discovery is polled.
//
// A [Balancer] is a deterministic state machine without clocks, goroutines, locks or I/O. Its host calls one
// method per event and passes the time of the event. Within that call the balancer requests its actions
// through [Actions], and the host carries them out. The event loop of internal/sidecar is one host,
// cmd/simadapter is another.
//
// # The rules for one request
//
// The rules apply in this order. Each file is listed with the decisions that it may take:
//
//  1. requests.go: rejects a request past its deadline or above Limits.MaxUnanswered.
//  2. probe_wait.go: defers a request until a few load probes are answered, if probing on demand is the
//     only way to get fresh load reports.
//  3. bans.go: gives a reinstated endpoint its first request and skips rules 4 and 5 for it.
//  4. pick.go: chooses the endpoint with the lowest cost, or rejects if none is left. The cost comes from
//     load_estimate.go, latency_estimate.go, latency_trend.go and outliers.go (an ejected endpoint costs
//     more than any other).
//  5. admission.go: rejects if the predicted latency is over the request's budget, which depends on the
//     priority of its class and on its tenant's quota (quota.go).
//  6. breaker.go: drops requests at random because of errors or latency. One other endpoint is then picked;
//     if there is none, or its breaker drops the request too, the request is rejected.
//  7. retry_safety.go: refuses an attempt that could break a safety rule, whatever was picked.
//  8. retry_budget.go: after a failed attempt, refuses a retry if no token is left. A retry goes through
//     rules 4 to 7 again. A request that is not retried is rejected if retry_safety.go allows a rejection,
//     and failed otherwise.
//
// # Safety rules
//
// These hold for any input. No other rule can bypass them, because every attempt starts in startAttempt and
// every answer goes through reject or fail. The one exception is a request of an unknown class, which is
// rejected before it enters the request table.
//
//   - A request is answered exactly once, by its deadline (requests.go).
//   - A request has one outstanding attempt at a time and at most Limits.MaxAttempts in all. None is started
//     after the answer, after a response has begun or after part of the body is consumed (retry_safety.go).
//   - A request is neither retried nor rejected if a second execution could have a second effect
//     (retry_safety.go). The host gets the time until which a retry may be sent.
//   - Nothing is sent to an endpoint that is banned, draining or removed (endpoints.go, bans.go).
//   - An endpoint in its slow start gets no more than its budget (slow_start.go).
//   - The same settings, seed and events lead to the same actions.
//
// Everything else is heuristic: estimates and their constants, admission, the breaker, ejection, probing.
//
// # Other files
//
// endpoints.go applies endpoint updates and discovery_poll.go polls discovery. load_probes.go probes in
// rounds and reads the load reports, late_reports.go detects when the reports are too old to use, and
// gossip.go shares them with other balancers. snapshot.go saves and restores learned state across restarts
// of the host. stats.go has averages, rates and the random source. The package's interface is in settings.go
// (checked in settings_validate.go), events.go and actions.go.
package balancer
