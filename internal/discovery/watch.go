package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bramblestand/balancer"
)

const (
	// callInterval is the pause between a response and the next call. Discovery regards a watch as ended if the next call
	// comes more than 200 ms after the last response. Without a pause, the watch could flood discovery with calls.
	callInterval = 20 * time.Millisecond
	// resubscribeDelay is the pause after a failure before the watch continues by itself.
	resubscribeDelay = 500 * time.Millisecond
)

// NotifyFunc receives the result of each call of a watch: a list with UpdateFull or UpdateDelta, or an empty list with
// UpdateFailed. It is called by the watch's goroutine.
type NotifyFunc func(kind balancer.UpdateKind, list List)

// Watch follows the changes of the endpoint list that a Client reads.
type Watch struct {
	Client *Client
	After  *uint64 // version of the caller's list; nil if it has none
	Notify NotifyFunc
	// Resubscribes makes the watch continue after a failure. This is needed if lists are pushed, since the balancer then
	// never polls. Otherwise the balancer decides when to call again.
	Resubscribes bool
	Log          *slog.Logger
}

// Run watches until a call fails or ctx ends. If the watch resubscribes, a failed call does not end it. Run may be called
// only once.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.runOnce(ctx)
		if ctx.Err() == nil {
			w.Log.Warn("discovery call failed", "error", err)
		}
		if !w.Resubscribes {
			return
		}
		sleep(ctx, resubscribeDelay)
	}
}

// runOnce watches until a call fails or ctx ends, and notifies of a failed call. Its first call does not wait for changes:
// its response tells the balancer that the watch has started.
func (w *Watch) runOnce(ctx context.Context) error {
	for wait := time.Duration(0); ; wait = MaxWait {
		list, err := w.Client.List(ctx, w.After, wait)
		if errors.Is(err, ErrOlderVersion) {
			w.After = nil // requests the full list
			continue
		}
		if err != nil {
			w.Notify(balancer.UpdateFailed, List{})
			return err
		}
		w.After = &list.Version
		kind := balancer.UpdateDelta
		if list.IsFull {
			kind = balancer.UpdateFull
		}
		w.Notify(kind, list)
		if err := sleep(ctx, callInterval); err != nil {
			return err
		}
	}
}

// sleep waits for the pause. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
