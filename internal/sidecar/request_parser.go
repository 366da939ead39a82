package sidecar

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"bramblestand/balancer"
)

// Headers of a client's request.
const (
	requestIDHeader      = "X-Correlation-Id"
	classHeader          = "X-Service-Class"
	idempotencyKeyHeader = "Idempotency-Key"
	timeLeftHeader       = "X-Time-Left-Ms"
	tenantHeader         = "X-Account"
	keyHeader            = "X-Session-Key"
	costHintHeader       = "X-Weight-Hint"
	isRetryHeader        = "X-Repeat"
)

const (
	// maxResponseMargin is how much of a client's time is reserved for writing the final response, at most.
	maxResponseMargin = 10 * time.Millisecond
	// responseMarginDivisor limits that to one part in so many of the client's time, which may be as short as the margin.
	responseMarginDivisor = 20
)

// invalidRequest is the error of a request that the sidecar does not forward.
type invalidRequest struct {
	status int // of the response
	reason string
}

// Error returns the reason.
func (e *invalidRequest) Error() string { return e.reason }

// newInvalidRequest returns the error of a malformed request.
func newInvalidRequest(format string, args ...any) *invalidRequest {
	return &invalidRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// requestParser reads the heads of requests. It is safe for concurrent use.
type requestParser struct {
	settings *balancer.Settings
	classes  map[string]uint8  // by name
	tenants  map[string]uint16 // by name
}

func newRequestParser(settings *balancer.Settings) requestParser {
	p := requestParser{settings: settings, classes: map[string]uint8{}, tenants: map[string]uint16{}}
	for i, class := range settings.Classes {
		p.classes[class.Name] = uint8(i)
	}
	for i, tenant := range settings.Tenants {
		p.tenants[tenant.Name] = uint16(i)
	}
	return p
}

// parse reads the head of a request. The result's Deadline is the time that is left after its last byte, and its ID is not set.
func (p *requestParser) parse(in *http.Request) (balancer.Request, *invalidRequest) {
	var request balancer.Request
	if !in.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked coding: net/http takes such a body for the next request.
		return request, &invalidRequest{http.StatusHTTPVersionNotSupported, "the version must be 1.1"}
	}
	if in.Header.Get(requestIDHeader) == "" {
		return request, newInvalidRequest("%s is missing", requestIDHeader)
	}
	for _, parse := range [...]func(*http.Request, *balancer.Request) *invalidRequest{
		p.parseClass, parseTimeLeft, p.parseTenant, parseKey, parseCostHint,
	} {
		if err := parse(in, &request); err != nil {
			return request, err
		}
	}
	request.IsRetry = in.Header.Get(isRetryHeader) == "1"
	if in.ContentLength > maxRequestBody {
		return request, &invalidRequest{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxRequestBody)}
	}
	return request, nil
}

// parseClass reads the class, and checks what the class asks of a request.
func (p *requestParser) parseClass(in *http.Request, request *balancer.Request) *invalidRequest {
	name := in.Header.Get(classHeader)
	class, ok := p.classes[name]
	if !ok {
		return newInvalidRequest("%s: %q is not a known class", classHeader, name)
	}
	request.Class = class
	method := http.MethodPost
	switch p.settings.Classes[class].RetrySafety {
	case balancer.Idempotent:
		method = http.MethodGet
	case balancer.IdempotentWithKey:
		if in.Header.Get(idempotencyKeyHeader) == "" {
			return newInvalidRequest("%s is missing", idempotencyKeyHeader)
		}
	}
	if in.Method != method {
		return &invalidRequest{http.StatusMethodNotAllowed, fmt.Sprintf("requests of this class are %s", method)}
	}
	return nil
}

// parseTimeLeft reads how long the client waits, which becomes the request's Deadline.
func parseTimeLeft(in *http.Request, request *balancer.Request) *invalidRequest {
	text := in.Header.Get(timeLeftHeader)
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 0 {
		return newInvalidRequest("%s: %q is not a whole number of milliseconds", timeLeftHeader, text)
	}
	request.Deadline = requestTimeout(millis)
	return nil
}

// requestTimeout returns how much of the client's time the request may take.
func requestTimeout(clientMillis int64) balancer.Micros {
	clientMillis = min(clientMillis, maxRequestTimeout.Milliseconds())
	clientMicros := clientMillis * 1000
	return clientMicros - min(maxResponseMargin.Microseconds(), clientMicros/responseMarginDivisor)
}

// parseTenant reads the tenant, if the settings have any.
func (p *requestParser) parseTenant(in *http.Request, request *balancer.Request) *invalidRequest {
	if len(p.tenants) == 0 {
		return nil
	}
	name := in.Header.Get(tenantHeader)
	tenant, ok := p.tenants[name]
	if !ok {
		return newInvalidRequest("%s: %q is not a known tenant", tenantHeader, name)
	}
	request.Tenant = tenant
	return nil
}

// parseKey reads what the request concerns, which may be absent.
func parseKey(in *http.Request, request *balancer.Request) *invalidRequest {
	if key := in.Header.Get(keyHeader); key != "" {
		hash := fnv.New64a()
		hash.Write([]byte(key))
		request.Key = hash.Sum64()
	}
	return nil
}

// parseCostHint reads the expected work in microseconds, which may be absent.
func parseCostHint(in *http.Request, request *balancer.Request) *invalidRequest {
	text := in.Header.Get(costHintHeader)
	if text == "" {
		return nil
	}
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil || micros < 0 {
		return newInvalidRequest("%s: %q is not a whole number of microseconds", costHintHeader, text)
	}
	request.CostHint, request.HasCostHint = micros, true
	return nil
}
