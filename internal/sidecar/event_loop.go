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
	"bramblestand/internal/discovery"
	"bramblestand/internal/fleet"
	"bramblestand/internal/handover"
	"bramblestand/internal/state"
	"bramblestand/internal/upstream"
)

const (
	// maxQueuedEvents is how many events may wait for the loop before whoever posts another one blocks.
	maxQueuedEvents = 1024
	// urgentTimeout limits the wait for the loop to begin with an urgent event.
	urgentTimeout = 900 * time.Millisecond
	// pruneInterval is between two closings of expired idle connections to endpoints.
	pruneInterval = time.Second
)

// event is carried out by the loop's goroutine, at the time now.
type event func(now balancer.Micros)

// loadBalancer makes the decisions. It is what the loop calls of a *balancer.Balancer; tests and the lab wrap it to observe the
// calls. The loop's goroutine alone may call it.
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

// eventLoop is the one owner of the balancer: a single goroutine, in run, passes it every event and carries out its actions
// (balancer.Actions, which eventLoop implements). The goroutine never waits for the network: calls of endpoints and of discovery
// run in goroutines of their own and report by events.
type eventLoop struct {
	ctx      context.Context // run and all that it starts end with it
	cfg      *config.Config
	log      *slog.Logger
	clock    clock
	upstream *upstream.Client

	events chan event // in the order of their posting
	urgent chan event // operators' calls, ahead of events

	// Set before run, and only read from then on.
	controlTraffic     *controltraffic.Accounting // nil without operators
	snapshots          *state.Writer              // nil where no state is persisted
	adminSettings      func() *handover.State     // the operators' settings in force; nil without operators
	restoredMembership json.RawMessage            // the membership's view that an earlier process persisted

	// For any goroutine.
	rejections   rejectionCounts
	hasEndpoints atomic.Bool                 // requests may be sent to an endpoint: one is listed, ready and not banned
	listReceived chan struct{}               // closed with the first list from discovery
	fleet        atomic.Pointer[fleet.Fleet] // nil without a fleet, and until it is joined

	// For the loop's goroutine alone.
	balancer         loadBalancer
	restoredSnapshot *state.Snapshot // what an earlier process persisted; nil once the loop has started

	requests      map[uint64]*pendingRequest // by request ID
	lastRequestID uint64

	endpointIDs     endpointIDs
	targets         map[uint32]*upstream.Target // by endpoint ID, of those that requests may be sent to
	listedEndpoints map[uint32]listedEndpoint   // by endpoint ID, all that were ever listed
	banned          map[uint32]bool             // by endpoint ID

	discoveryClient *discovery.Client
	listVersion     *uint64            // nil before the first list
	listedAt        time.Time          // wall clock at the last list from discovery
	hasReceivedList bool               // listReceived is closed
	isWatching      bool               // the balancer wants the list watched
	stopWatch       context.CancelFunc // of the present watch; never nil
}

// newEventLoop returns a loop whose goroutine is not started yet: see run.
func newEventLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{
		ctx:      ctx,
		cfg:      cfg,
		log:      log,
		clock:    clock{time.Now()},
		upstream: newUpstreamClient(cfg),

		events:       make(chan event, maxQueuedEvents),
		urgent:       make(chan event, config.MaxAdminConnections),
		listReceived: make(chan struct{}),

		requests:        map[uint64]*pendingRequest{},
		endpointIDs:     newEndpointIDs(),
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

// start starts the balancer with what was persisted and configured.
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

// nextSave returns a channel that receives when the next snapshot is due: never where no state is persisted.
func (l *eventLoop) nextSave() <-chan time.Time {
	if l.snapshots == nil {
		return nil
	}
	return time.After(l.snapshots.NextSave())
}

// post queues an event. It blocks while the queue is full, and does nothing once the loop has ended. The loop's goroutine must not
// call it.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// postForClient queues an event and returns true, or returns false if the client disconnects while the queue is full. The loop's
// goroutine must not call it.
func (l *eventLoop) postForClient(client context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-client.Done():
		return false
	}
}

// postUrgent is postUrgentBefore with a deadline after urgentTimeout.
func (l *eventLoop) postUrgent(e event) error {
	return l.postUrgentBefore(time.Now().Add(urgentTimeout), e)
}

// postUrgentBefore has an event handled ahead of those that are queued, and waits for it. If the loop has not begun with it by the
// deadline, the event will never be handled and admin.ErrBusy is returned; if the loop has ended, its context's error. The loop's
// goroutine must not call it.
func (l *eventLoop) postUrgentBefore(deadline time.Time, e event) error {
	var isClaimed atomic.Bool // by the loop, which handles the event, or by the deadline, which drops it
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
