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
	maxQueuedEvents = 1024 // waiting for the loop
	pruneInterval   = time.Second
	urgentTimeout   = 900 * time.Millisecond // an operator's answer is owed in 1 s
)

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
	upstream           *upstream.Client
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
	targets         map[uint32]*upstream.Target
	listedEndpoints map[uint32]listedEndpoint // all that was ever listed, as it was last
	banned          map[uint32]bool           // out of use by hand
	listVersion     *uint64                   // version of the last list, if there was any
	isWatching      bool                      // the balancer wants the list watched
	hasReceivedList bool                      // discovery has answered
	stopWatch       context.CancelFunc
}

func newEventLoop(ctx context.Context, cfg *config.Config, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{
		cfg: cfg, log: log, clock: clock{time.Now()}, ctx: ctx,
		upstream: newUpstreamClient(cfg), listReceived: make(chan struct{}),
		events:          make(chan func(balancer.Micros), maxQueuedEvents),
		urgent:          make(chan func(balancer.Micros), config.MaxAdminConnections),
		listedEndpoints: map[uint32]listedEndpoint{}, banned: map[uint32]bool{},
		requests: map[uint64]*pendingRequest{}, endpointIDs: map[string]uint32{}, endpointNames: map[uint32]string{}, targets: map[uint32]*upstream.Target{},
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

func newUpstreamClient(cfg *config.Config) *upstream.Client {
	return upstream.NewClient(upstream.Options{
		DialTimeout:      time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond,
		KeepaliveTimeout: cfg.KeepaliveTimeout,
		LoadReportFields: cfg.LoadReportFields,
		MaxConnections:   cfg.MaxConnections(),
	})
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
