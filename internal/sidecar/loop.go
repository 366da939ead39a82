package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/controltraffic"
	"bramblestand/internal/datagram"
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
	"bramblestand/internal/state"
)

const (
	maxQueuedEvents = 1024 // waiting for the loop
	pruneInterval   = time.Second
	urgentTimeout   = 900 * time.Millisecond // an operator's answer is owed in 1 s
)

// clock gives the balancer's time: microseconds that never run backwards, from
// the Unix time at the start on, so that discovery's times map onto it as they
// are.
type clock struct{ start time.Time }

func (c clock) now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

func (c clock) wallTime(at balancer.Micros) time.Time {
	return c.start.Add(time.Duration(at-c.start.UnixMicro()) * time.Microsecond)
}

// loadBalancer is what the loop needs of a *balancer.Balancer.
type loadBalancer interface {
	Start(now balancer.Micros)
	UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint)
	RequestArrived(now balancer.Micros, in balancer.Request)
	BodySent(now balancer.Micros, id uint64, deadline balancer.Micros)
	ResponseStarted(now balancer.Micros, id uint64, attempt int, latency balancer.Micros)
	AttemptFinished(now balancer.Micros, o balancer.Outcome)
	ClientDisconnected(now balancer.Micros, id uint64)
	TimerFired(now balancer.Micros, token uint32)
	LoadProbeResult(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	ReceiveGossip(now balancer.Micros, data []byte)
	SetProcessCount(processes int)
	SetFleetSize(living int)
	Ban(now balancer.Micros, id uint32)
	Unban(now balancer.Micros, id uint32)
	Snapshot(now balancer.Micros) []balancer.EndpointSnapshot
	Restore(now balancer.Micros, kept []balancer.EndpointSnapshot)
}

// eventLoop owns the balancer: one goroutine passes it every event and carries out
// its Actions. It never waits for the network; what it starts reports back
// through events.
type eventLoop struct {
	cfg                *config.Config
	log                *slog.Logger
	clock              clock
	upstream           *Client
	discoveryClient    *discovery.Client
	events             chan func(now balancer.Micros)
	urgent             chan func(now balancer.Micros) // operators' calls, ahead of events
	ctx                context.Context                // ends with the loop
	hasEndpoints       atomic.Bool                    // endpoints are known
	listReceived       chan struct{}                  // closed once discovery has answered
	fleet              atomic.Pointer[fleet.Fleet]    // nil where there is none to talk to, or not yet
	restoredMembership json.RawMessage                // the view that an earlier process persisted
	snapshots          *state.Writer                  // nil where no state is persisted
	restoredSnapshot   *state.Snapshot                // what an earlier process persisted, until the start
	adminSettings      func() *handover.State         // what operators ordered; nil without operators
	listedAt           time.Time                      // wall clock when discovery last told the list
	controlTraffic     *controltraffic.Accounting     // counts what control costs; nil without operators

	// Below: the loop's goroutine alone.
	balancer        loadBalancer
	requests        map[uint64]*pendingRequest
	lastRequestID   uint64
	endpointIDs     map[string]uint32 // by host name
	endpointNames   map[uint32]string // the other way round
	targets         map[uint32]*Target
	listedEndpoints map[uint32]listedEndpoint // all that was ever listed, as it was last
	banned          map[uint32]bool           // out of use by hand
	listVersion     *uint64                   // version of the last list, if there was any
	isWatching      bool                      // the balancer wants the list watched
	hasReceivedList bool                      // discovery has answered
	stopWatch       context.CancelFunc
}

// listedEndpoint is what discovery last said of an endpoint.
type listedEndpoint struct {
	discovery.Endpoint
	state balancer.EndpointState
}

// pendingRequest is the ledger's entry for a request that the balancer may still
// speak of: no final answer is out, or attempts are.
type pendingRequest struct {
	id              uint64
	outgoing        *Request
	deadline        balancer.Micros
	timeLeft        balancer.Micros    // from the last byte of a body that still comes to the deadline
	response        chan finalResponse // takes the one final answer
	clientCtx       context.Context    // ends when the client leaves, which the loop may be told late
	checkDisconnect func()             // asks the system whether it has left; nil where there is no connection to ask
	isDone          bool               // the final answer is out, or the client is gone
	cancelAttempts  []context.CancelFunc
	outstanding     int // attempts without outcome
}

// finalResponse is the final answer to a request.
type finalResponse struct {
	statusCode int
	retryAfter balancer.Micros
	header     http.Header
	body       []byte
	stream     *ResponseStream // the rest of the body, or nil
}

func newEventLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{
		cfg: cfg, log: log, clock: clock{time.Now()}, ctx: ctx,
		upstream: NewClient(cfg, cfg.MaxConnections()), listReceived: make(chan struct{}),
		events:          make(chan func(balancer.Micros), maxQueuedEvents),
		urgent:          make(chan func(balancer.Micros), config.MaxAdminConnections),
		listedEndpoints: map[uint32]listedEndpoint{}, banned: map[uint32]bool{},
		requests: map[uint64]*pendingRequest{}, endpointIDs: map[string]uint32{}, endpointNames: map[uint32]string{}, targets: map[uint32]*Target{},
		stopWatch: func() {},
	}
	var calls discovery.Options
	if cfg.AdminAddress != "" {
		l.controlTraffic = &controltraffic.Accounting{Started: time.Now()}
		l.upstream.LoadProbeTraffic = &l.controlTraffic.LoadProbes
		calls.Traffic = &l.controlTraffic.Discovery
	}
	l.discoveryClient = discovery.NewClient(cfg.DiscoveryAddress, calls)
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

// run handles events until the loop's context ends.
func (l *eventLoop) run() {
	now := l.clock.now()
	l.balancer.Start(now)
	if list := l.restoreSnapshot(now, l.restoredSnapshot); len(list.Endpoints) > 0 {
		l.applyEndpointUpdate(now, balancer.UpdateCached, list)
	}
	l.restoreEndpointStates(now, l.restoredSnapshot)
	l.restoredSnapshot = nil
	if !l.cfg.Settings.MustSubscribe {
		l.WatchEndpoints(true)
	}
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var saveAt <-chan time.Time // never where no state is persisted
	if l.snapshots != nil {
		saveAt = time.After(l.snapshots.NextSave())
	}
	for {
		select {
		case event := <-l.urgent:
			event(l.clock.now())
			continue
		default:
		}
		select {
		case event := <-l.urgent:
			event(l.clock.now())
		case event := <-l.events:
			event(l.clock.now())
		case <-prune.C:
			l.upstream.CloseExpired()
		case <-saveAt:
			l.snapshots.Offer(l.snapshot(l.clock.now()))
			saveAt = time.After(l.snapshots.NextSave())
		case <-l.ctx.Done():
			return
		}
	}
}

// post hands an event to the loop. It must not be called from the loop.
func (l *eventLoop) post(event func(now balancer.Micros)) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// postForClient hands an event to the loop for a client, unless the client leaves first: then it returns false.
func (l *eventLoop) postForClient(client context.Context, event func(now balancer.Micros)) bool {
	select {
	case l.events <- event:
		return true
	case <-client.Done():
		return false
	}
}

// postUrgent has the loop carry something out ahead of the events that wait for it, and waits for that. It returns
// admin.ErrBusy where the loop does not get to it in time, and the context's error where the loop has ended.
func (l *eventLoop) postUrgent(event func(now balancer.Micros)) error {
	done := make(chan struct{})
	patience := time.NewTimer(urgentTimeout)
	defer patience.Stop()
	select {
	case l.urgent <- func(now balancer.Micros) { event(now); close(done) }:
	case <-patience.C:
		return admin.ErrBusy
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-patience.C:
		return admin.ErrBusy
	}
}

// admitRequest passes a new request to the balancer.
func (l *eventLoop) admitRequest(now balancer.Micros, r *pendingRequest, in balancer.Request) {
	l.lastRequestID++
	r.id, in.ID, r.deadline = l.lastRequestID, l.lastRequestID, in.Deadline
	l.requests[r.id] = r
	l.balancer.RequestArrived(now, in)
	l.releaseRequest(r)
}

// isClientGone says whether the request's client has left.
func (r *pendingRequest) isClientGone() bool { return r.clientCtx != nil && r.clientCtx.Err() != nil }

// clientDisconnected tells that the client went away.
func (l *eventLoop) clientDisconnected(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		r.isDone = true
		l.balancer.ClientDisconnected(now, r.id)
		l.releaseRequest(r)
		return
	}
	select {
	case a := <-r.response: // it crossed the client's going, and nobody takes it
		if a.stream != nil {
			a.stream.End(&ClientError{error: errClientDisconnected})
		}
	default:
	}
}

// errClientDisconnected says that a client left before its answer.
var errClientDisconnected = errors.New("the client is gone")

// bodySent tells that the last byte of a request's body was sent on.
func (l *eventLoop) bodySent(now balancer.Micros, r *pendingRequest) {
	if !r.isDone {
		l.balancer.BodySent(now, r.id, r.deadline)
	}
}

// responseStarted gives the beginning of an answer that is passed on as it comes, as the final one.
func (l *eventLoop) responseStarted(now balancer.Micros, r *pendingRequest, attempt int, latency balancer.Micros, a finalResponse) {
	if r.isDone {
		a.stream.End(&ClientError{error: errClientDisconnected})
		return
	}
	l.balancer.ResponseStarted(now, r.id, attempt, latency)
	l.respond(r, a)
}

// attemptFinished tells how an attempt ended: exactly once for each, also after the
// request's end, when the balancer still learns from it.
func (l *eventLoop) attemptFinished(now balancer.Micros, r *pendingRequest, o balancer.Outcome, res Result) {
	r.outstanding--
	if r.isClientGone() {
		l.clientDisconnected(now, r) // before the balancer would try again for it
	}
	if res.Status != balancer.OK {
		l.log.Info("attempt not served", "request_id", r.outgoing.Header.Get(requestIDHeader), "attempt", o.Attempt,
			"endpoint", o.Endpoint, "outcome", res.Status, "duration", time.Duration(o.Latency)*time.Microsecond, "error", res.Err)
	}
	if res.Status == balancer.OK {
		l.respond(r, finalResponse{statusCode: http.StatusOK, header: res.Header, body: res.Body})
	} else if res.ClientErrorCode != 0 {
		a := finalResponse{statusCode: res.ClientErrorCode}
		if a.statusCode == http.StatusServiceUnavailable {
			a.retryAfter = shutdownRetryAfter.Microseconds()
		}
		l.respond(r, a)
	}
	o.RequestDone, o.BodyConsumed = r.isDone, r.outgoing.BodyConsumed()
	l.balancer.AttemptFinished(now, o)
	l.releaseRequest(r)
}

// respond gives the final answer, unless one is out already.
func (l *eventLoop) respond(r *pendingRequest, a finalResponse) {
	if r != nil && !r.isDone {
		r.isDone = true
		r.response <- a     // it has room for the one
		l.releaseRequest(r) // a refusal may come of a timer or a probe, with no attempt to follow
	}
}

func (l *eventLoop) releaseRequest(r *pendingRequest) {
	if r.isDone && r.outstanding == 0 {
		delete(l.requests, r.id)
	}
}

// applyEndpointUpdate passes on a list and brings the targets in line with it.
func (l *eventLoop) applyEndpointUpdate(now balancer.Micros, kind balancer.UpdateKind, list discovery.List) {
	if kind == balancer.UpdateFailed {
		l.balancer.UpdateEndpoints(now, kind, nil)
		return
	}
	l.listVersion = &list.Version
	entries := make([]balancer.Endpoint, 0, len(list.Endpoints))
	named := map[uint32]bool{}
	for _, h := range list.Endpoints {
		id := l.endpointID(h.Name)
		named[id] = true
		e := balancer.Endpoint{ID: id, Zone: l.cfg.ZoneIndex(h.Zone), MachineType: l.cfg.MachineTypeIndex(h.MachineType),
			Pod: h.Pod, State: discovery.StateOf(h), Weight: h.Weight}
		if h.StartedAtMillis > 0 {
			e.StartTime = h.StartedAtMillis * 1000
		}
		entries = append(entries, e)
		l.updateTarget(id, listedEndpoint{h, e.State})
	}
	if kind != balancer.UpdateDelta {
		for id, old := range l.listedEndpoints {
			if !named[id] && old.state != balancer.Removed {
				l.updateTarget(id, listedEndpoint{state: balancer.Removed})
			}
		}
	}
	l.hasEndpoints.Store(len(l.targets) > 0)
	if kind != balancer.UpdateCached {
		l.listedAt = time.Now().UTC()
	}
	if kind != balancer.UpdateCached && !l.hasReceivedList {
		l.hasReceivedList = true
		close(l.listReceived)
	}
	l.balancer.UpdateEndpoints(now, kind, entries)
}

// endpointID gives a host's id: the same at every sidecar, so that they can speak of it to each other.
func (l *eventLoop) endpointID(name string) uint32 {
	id, ok := l.endpointIDs[name]
	if !ok {
		hash := fnv.New32a()
		hash.Write([]byte(name))
		// Where two names share a number, peers' messages on the later one go astray, and it alone is wronged.
		for id = hash.Sum32(); l.endpointNames[id] != ""; id++ {
		}
		l.endpointIDs[name], l.endpointNames[id] = id, name
	}
	return id
}

// updateTarget points an endpoint's id at where it is reached now. A target that drains, is gone, has restarted or is banned
// is closed, so that a send on its way does not start.
func (l *eventLoop) updateTarget(id uint32, to listedEndpoint) {
	l.listedEndpoints[id] = to
	wanted := to.state == balancer.Ready && !l.banned[id]
	t := l.targets[id]
	if t != nil && wanted && t.Address == to.Address && t.StartedAtMillis == to.StartedAtMillis {
		return
	}
	if t != nil {
		l.upstream.Retire(t)
		delete(l.targets, id)
	}
	if wanted {
		l.targets[id] = &Target{Address: to.Address, StartedAtMillis: to.StartedAtMillis}
	}
}

// setBans brings the endpoints out of use by hand in line with the names of hosts that are.
func (l *eventLoop) setBans(now balancer.Micros, names []string) {
	wanted := map[uint32]bool{}
	for _, name := range names {
		id := l.endpointID(name)
		wanted[id] = true
		if !l.banned[id] {
			l.banned[id] = true
			l.refreshTarget(id)
			l.balancer.Ban(now, id)
			l.log.Info("banned", "host", name, "endpoint", id)
		}
	}
	for id := range l.banned {
		if !wanted[id] {
			delete(l.banned, id)
			l.refreshTarget(id)
			l.balancer.Unban(now, id)
			l.log.Info("ban ended", "host", l.endpointNames[id], "endpoint", id)
		}
	}
}

// refreshTarget follows a change of the bans.
func (l *eventLoop) refreshTarget(id uint32) {
	if to, ok := l.listedEndpoints[id]; ok {
		l.updateTarget(id, to)
	}
}

// StartAttempt starts an attempt.
func (l *eventLoop) StartAttempt(id uint64, endpoint uint32, timeout balancer.Micros) {
	r, t := l.requests[id], l.targets[endpoint]
	now, until := l.clock.now(), r.deadline
	if timeout > 0 {
		until = min(until, now+timeout)
	}
	life, cancel := context.WithCancel(l.ctx)
	o := balancer.Outcome{ID: id, Attempt: len(r.cancelAttempts), Endpoint: endpoint}
	r.cancelAttempts = append(r.cancelAttempts, cancel)
	r.outstanding++
	began, ended := now, balancer.Micros(0) // what counts as the attempt's time
	// A client that leaves takes back what was not begun to be sent, whatever may be cancelled beyond that.
	unguard := func() bool { return true }
	guard := func() {
		if r.clientCtx != nil {
			unguard = context.AfterFunc(r.clientCtx, cancel)
		}
	}
	guard()
	p := &Forwarding{StreamContext: life,
		MayStart: func() bool {
			if r.checkDisconnect != nil {
				r.checkDisconnect() // whoever reads the connection may be far behind, where many come at once
			}
			return unguard() && !r.isClientGone()
		},
		BodySent: func() time.Time {
			began = l.clock.now()
			deadline := began + r.timeLeft
			l.post(func(at balancer.Micros) {
				r.deadline = deadline
				l.bodySent(at, r)
			})
			return l.clock.wallTime(deadline)
		},
		StartResponse: func(h *http.Response, kept []byte, s *ResponseStream) {
			ended = l.clock.now()
			latency := ended - began
			guard() // what is passed on as it comes has nobody else to come for
			s.StopWatchingClient = unguard
			l.post(func(at balancer.Micros) {
				l.responseStarted(at, r, o.Attempt, latency, finalResponse{statusCode: http.StatusOK, header: h.Header, body: kept, stream: s})
			})
		}}
	go func() {
		defer cancel()
		defer func() { unguard() }()
		res := Result{Status: balancer.NotSent}
		if t != nil {
			ctx, stop := life, context.CancelFunc(func() {})
			if r.outgoing.Upload == nil { // else its time begins with its last byte
				ctx, stop = context.WithDeadline(life, l.clock.wallTime(until))
			}
			res = l.upstream.Attempt(ctx, t, r.outgoing, p)
			stop()
		}
		l.post(func(at balancer.Micros) {
			if ended == 0 {
				ended = at
			}
			o.Status, o.LoadReport, o.Latency = res.Status, res.LoadReport, ended-began
			l.attemptFinished(at, r, o, res)
		})
	}()
}

// Reject answers that a retry is harmless, and when it is welcome.
func (l *eventLoop) Reject(id uint64, retryAfter balancer.Micros) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail answers that the request failed.
func (l *eventLoop) Fail(id uint64) {
	l.respond(l.requests[id], finalResponse{statusCode: http.StatusBadGateway})
}

// CancelAttempt gives an attempt up: its connection is closed, its outcome still comes.
func (l *eventLoop) CancelAttempt(id uint64, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.cancelAttempts) {
		r.cancelAttempts[attempt]()
	}
}

// SetTimer gives a token back after a while.
func (l *eventLoop) SetTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.post(func(now balancer.Micros) { l.balancer.TimerFired(now, token) })
	})
}

// SendLoadProbe asks an endpoint for its load.
func (l *eventLoop) SendLoadProbe(endpoint uint32) {
	t := l.targets[endpoint]
	go func() {
		res := Result{Status: balancer.NotSent}
		if t != nil {
			res = l.upstream.LoadProbe(l.ctx, t)
		}
		l.post(func(now balancer.Micros) {
			l.balancer.LoadProbeResult(now, endpoint, res.Status, res.Latency.Microseconds(), res.LoadReport)
		})
	}()
}

// WatchEndpoints begins to watch discovery's list, from the last version on, or ends it.
func (l *eventLoop) WatchEndpoints(on bool) {
	l.stopWatch()
	if l.isWatching = on; !on {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	watch := &discovery.Watch{
		Client: l.discoveryClient,
		After:  l.listVersion,
		Notify: func(kind balancer.UpdateKind, list discovery.List) {
			l.post(func(now balancer.Micros) {
				if ctx.Err() == nil { // else the watch was ended meanwhile
					l.applyEndpointUpdate(now, kind, list)
				}
			})
		},
		Resubscribes: !l.cfg.Settings.MustSubscribe,
		Log:          l.log,
	}
	go watch.Run(ctx)
}

// followReloads takes new configurations until the loop's context ends.
func (l *eventLoop) followReloads(reloads <-chan *config.Config) {
	for {
		select {
		case cfg := <-reloads:
			l.post(func(balancer.Micros) {
				if cfg.DiscoveryAddress != l.discoveryClient.Address() {
					l.switchDiscovery(cfg.DiscoveryAddress)
				}
			})
		case <-l.ctx.Done():
			return
		}
	}
}

// switchDiscovery turns to discovery at another address. Its versions may not be the
// old one's: the watch begins with the whole list.
func (l *eventLoop) switchDiscovery(address string) {
	l.log.Info("discovery address changed", "old_address", l.discoveryClient.Address(), "new_address", address)
	old := l.discoveryClient
	l.discoveryClient, l.listVersion = discovery.NewClient(address, old.Options()), nil
	if l.isWatching {
		l.WatchEndpoints(true)
	}
	old.CloseIdleConnections()
}

// Log records an event of the balancer's.
func (l *eventLoop) Log(message string, fields ...balancer.LogField) {
	attributes := make([]slog.Attr, len(fields))
	for i, field := range fields {
		attributes[i] = slog.Any(field.Key, field.Value)
	}
	l.log.LogAttrs(l.ctx, slog.LevelInfo, message, attributes...)
}

// datagramCounts returns the datagrams by channel since the start, nil where there is no transport yet.
func (l *eventLoop) datagramCounts() map[datagram.Channel]datagram.ChannelCounts {
	if f := l.fleet.Load(); f != nil {
		return f.Counts()
	}
	return nil
}
