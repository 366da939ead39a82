// Package balancer makes the decisions of a client-side load-balancing sidecar: where a request goes,
// whether it is retried, rejected or failed, and when endpoints are probed and discovery is polled.
//
// A [Balancer] is a deterministic state machine without clocks, goroutines, locks or I/O. Its host calls a
// method for each event with the instant of it, and carries out what the balancer asks for through
// [Actions] within that call. The event loop of internal/sidecar is one host, cmd/simadapter another.
//
// # The rules for one request
//
// In this order, each with what it may do:
//
//  1. requests.go: rejects past the deadline or above Limits.MaxUnanswered.
//  2. probe_wait.go: defers a request for a few load probes, where reports are not fresh otherwise.
//  3. bans.go: gives a reinstated endpoint its first request, past rules 4 and 5.
//  4. pick.go: chooses the endpoint of the least cost, or rejects if none is left. The cost comes from
//     load_estimate.go, latency_estimate.go, latency_trend.go and outliers.go (an ejected endpoint costs
//     more than any other).
//  5. admission.go: rejects if the predicted latency is over the request's budget, which depends on the
//     priority of its class and on its tenant's quota (quota.go).
//  6. breaker.go: drops at random, for errors or latency. One other endpoint is then picked, or it rejects.
//  7. retry_safety.go: refuses an attempt that could break a safety rule, whatever was picked.
//  8. retry_budget.go, after a failed attempt: refuses a retry without a token. A retry goes through 4 to 7
//     again. What is not retried is rejected if retry_safety.go allows that, else failed.
//
// # Safety rules
//
// These hold for any input. No other rule can get round them, because startAttempt, reject and fail are the
// only ways out (a request of an unknown class is rejected before it is entered):
//
//   - A request is answered exactly once, by its deadline (requests.go).
//   - One attempt is outstanding at a time, Limits.MaxAttempts are made in all, and none after the answer,
//     after a response has begun or once part of the body is gone (retry_safety.go).
//   - There is no retry and no rejection where a second execution could have an effect (retry_safety.go).
//   - Nothing is sent to an endpoint that is banned, draining or removed (endpoints.go, bans.go).
//   - An endpoint in its slow start gets no more than its budget (slow_start.go).
//   - The same settings, seed and events lead to the same actions.
//
// All else is heuristic: estimates and their constants, admission, the breaker, ejection, probing.
//
// # The rest
//
// endpoints.go applies endpoint updates and discovery_poll.go polls discovery. load_probes.go probes in
// rounds and reads the answers, late_reports.go finds out when they can't be used, and gossip.go shares
// them with other balancers. snapshot.go saves what a restart should not lose. stats.go has averages,
// rates and the random source. settings.go (checked in settings_validate.go), events.go and actions.go
// are the interface.
package balancer
