package sidecar

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/admin"
	"bramblestand/internal/config"
	"bramblestand/internal/controltraffic"
	"bramblestand/internal/dedup"
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
	"bramblestand/internal/state"
	"bramblestand/internal/upstream"
)

const (
	// maxQueuedEvents is how many events may be queued before post blocks.
	maxQueuedEvents = 1024
	// urgentTimeout limits how long postUrgent waits until the loop starts to handle the event.
	urgentTimeout = 900 * time.Millisecond
	// pruneInterval is how often expired idle connections to endpoints are closed.
	pruneInterval = time.Second
)

// event is a function that the loop's goroutine calls with the current time.
type event func(now balancer.Micros)

// loadBalancer makes the load-balancing decisions. It has the methods of *balancer.Balancer that the loop calls; tests and the
// lab wrap it to observe the calls. Only the loop's goroutine may call it.
type loadBalancer interface {
	Start(now balancer.Micros)
	UpdateEndpoints(now balancer.Micros, kind balancer.UpdateKind, entries []balancer.Endpoint)
	RequestArrived(now balancer.Micros, in balancer.Request)
	BodySent(now balancer.Micros, request uint64, deadline balancer.Micros)
	ResponseStarted(now balancer.Micros, request uint64, attempt int, latency balancer.Micros)
	AttemptFinished(now balancer.Micros, o balancer.Outcome)
	ClientDisconnected(now balancer.Micros, request uint64)
	TimerFired(now balancer.Micros, token uint32)
	LoadProbeResult(now balancer.Micros, endpoint uint32, status balancer.Status, latency balancer.Micros, load []float32)
	ReceiveGossip(now balancer.Micros, data []byte)
	SetProcessCount(processes int)
	SetFleetSize(sidecars int)
	Ban(now balancer.Micros, endpoint uint32)
	Unban(now balancer.Micros, endpoint uint32)
	Snapshot(now balancer.Micros) []balancer.EndpointSnapshot
	Restore(now balancer.Micros, persisted []balancer.EndpointSnapshot)
}

// eventLoop owns the balancer. A single goroutine (run) passes every event to the balancer and carries out the balancer's
// actions; eventLoop implements balancer.Actions. That goroutine never waits for the network: calls to endpoints and to discovery
// run in their own goroutines, which post the results as events.
type eventLoop struct {
	ctx      context.Context // ends run and everything that the loop has started
	cfg      *config.Config
	log      *slog.Logger
	clock    clock
	upstream *upstream.Client

	events chan event // handled in the order in which they were posted
	urgent chan event // operators' calls, which are handled ahead of events

	// Set before run starts, and only read after that.
	controlTraffic     *controltraffic.Accounting // nil without an admin address
	snapshots          *state.Writer              // nil if no state is persisted
	adminSettings      func() *handover.State     // returns the operators' settings in force; nil without an admin address
	onEndpointCount    func(endpoints int)        // called when the number of listed endpoints may have changed; may be nil
	restoredMembership json.RawMessage            // the membership snapshot that an earlier process persisted; nil if there is none

	// Any goroutine may use these.
	rejections   reasonCounts
	attemptsByID *dedup.Table                // attempts of requests that must not run twice; set before run starts
	hasEndpoints atomic.Bool                 // at least one endpoint is listed, ready and not banned, so that requests can be sent
	listReceived chan struct{}               // closed when discovery has sent its first list
	fleet        atomic.Pointer[fleet.Fleet] // nil without a fleet, and before it is joined

	// Only the loop's goroutine may use these.
	balancer         loadBalancer
	restoredSnapshot *state.Snapshot // what an earlier process persisted, if anything; nil once the loop has started

	requests      map[uint64]*pendingRequest // by request ID
	lastRequestID uint64

	endpointIDs     endpointIDs
	startTimes      startTimes
	targets         map[uint32]*upstream.Target // by endpoint ID; only of endpoints that requests may be sent to
	listedEndpoints map[uint32]listedEndpoint   // by endpoint ID; all that were ever listed
	banned          map[uint32]bool             // by endpoint ID

	discoveryClient *discovery.Client
	listVersion     *uint64            // of the last list; nil before the first one and after a change of the discovery address
	listedAt        time.Time          // wall-clock time of the last list from discovery
	hasReceivedList bool               // listReceived is closed
	isWatching      bool               // a watch of the endpoint list is wanted
	stopWatch       context.CancelFunc // ends the current watch; never nil
}

// newEventLoop returns a loop that handles no events until run is called.
func newEventLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{
		ctx:      ctx,
		cfg:      cfg,
		log:      log,
		clock:    clock{time.Now()},
		upstream: newUpstreamClient(cfg),

		rejections:   reasonCounts{prefix: "rejected_"},
		events:       make(chan event, maxQueuedEvents),
		urgent:       make(chan event, config.MaxAdminConnections),
		listReceived: make(chan struct{}),

		attemptsByID:    dedup.New(log),
		requests:        map[uint64]*pendingRequest{},
		endpointIDs:     newEndpointIDs(),
		startTimes:      newStartTimes(),
		targets:         map[uint32]*upstream.Target{},
		listedEndpoints: map[uint32]listedEndpoint{},
		banned:          map[uint32]bool{},
		stopWatch:       func() {},
	}
	var options discovery.Options
	if cfg.AdminAddress != "" {
		l.controlTraffic = &controltraffic.Accounting{Started: time.Now()}
		l.upstream.LoadProbeTraffic = &l.controlTraffic.LoadProbes
		options.Traffic = &l.controlTraffic.Discovery
	}
	l.discoveryClient = discovery.NewClient(cfg.DiscoveryAddress, options)
	var err error
	l.balancer, err = balancer.New(cfg.Settings, cfg.Seed, l)
	return l, err
}

func newUpstreamClient(cfg *config.Config) *upstream.Client {
	return upstream.NewClient(upstream.Options{
		DialTimeout:      time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond,
		KeepaliveTimeout: cfg.KeepaliveTimeout,
		LoadReportFields: cfg.LoadReportFields,
		MaxConnections:   cfg.MaxConnections(),
	})
}

// run is the loop's goroutine. It starts the balancer and handles events until the loop's context ends.
func (l *eventLoop) run() {
	l.start(l.clock.now())
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	save := l.nextSave()
	for {
		if l.handleUrgent() {
			continue
		}
		select {
		case handle := <-l.urgent:
			handle(l.clock.now())
		case handle := <-l.events:
			handle(l.clock.now())
		case <-prune.C:
			l.upstream.CloseExpired()
		case <-save:
			l.snapshots.Offer(l.snapshot(l.clock.now()))
			save = l.nextSave()
		case <-l.ctx.Done():
			return
		}
	}
}

// start starts the balancer with the persisted state and the configured endpoints.
func (l *eventLoop) start(now balancer.Micros) {
	l.balancer.Start(now)
	if list := l.restoreSnapshot(now, l.restoredSnapshot); len(list.Endpoints) > 0 {
		l.applyEndpointUpdate(now, balancer.UpdateCached, list)
	}
	l.restoreEndpointStates(now, l.restoredSnapshot)
	l.restoredSnapshot = nil
	if !l.cfg.Settings.MustSubscribe {
		l.WatchEndpoints(true)
	}
}

// handleUrgent handles one urgent event, if any is queued, and reports whether it did.
func (l *eventLoop) handleUrgent() bool {
	select {
	case handle := <-l.urgent:
		handle(l.clock.now())
		return true
	default:
		return false
	}
}

// nextSave returns a channel that receives a value when the next snapshot is due. It is nil, and so never receives one, if no
// state is persisted.
func (l *eventLoop) nextSave() <-chan time.Time {
	if l.snapshots == nil {
		return nil
	}
	return time.After(l.snapshots.NextSave())
}

// post queues an event. It blocks while the queue is full, and does nothing if the loop has ended. The loop's goroutine must not
// call it.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// postForClient queues an event and returns true. It returns false if the queue is full and the client's context ends first. The
// loop's goroutine must not call it.
func (l *eventLoop) postForClient(client context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-client.Done():
		return false
	}
}

// postUrgent calls postUrgentBefore with a deadline that is urgentTimeout from now.
func (l *eventLoop) postUrgent(e event) error {
	return l.postUrgentBefore(time.Now().Add(urgentTimeout), e)
}

// postUrgentBefore has an event handled ahead of the queued ones and waits until it is handled. If the loop has not started to
// handle it by the deadline, the event is dropped and postUrgentBefore returns admin.ErrBusy. If the loop has ended, it returns
// the error of the loop's context. The loop's goroutine must not call it.
func (l *eventLoop) postUrgentBefore(deadline time.Time, e event) error {
	var isClaimed atomic.Bool // by the loop, which then handles the event, or at the deadline, after which the event is dropped
	handled := make(chan struct{})
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	handle := func(now balancer.Micros) {
		if isClaimed.CompareAndSwap(false, true) {
			e(now)
			close(handled)
		}
	}
	select {
	case l.urgent <- handle:
	case <-timeout.C:
		return admin.ErrBusy
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
	select {
	case <-handled:
		return nil
	case <-timeout.C:
	}
	if isClaimed.CompareAndSwap(false, true) {
		return admin.ErrBusy
	}
	<-handled
	return nil
}
