package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bramblestand/balancer"
)

const (
	// Discovery regards a watch as ended when its next call comes more than 200 ms after the last
	// answer; without any pause, calls could become a flood.
	callInterval = 20 * time.Millisecond
	// resubscribeDelay is the pause after a failure where the watch goes on by itself.
	resubscribeDelay = 500 * time.Millisecond
)

// NotifyFunc takes what a watch learns: a list as UpdateFull or UpdateDelta, or UpdateFailed with an
// empty one. It is called by the watch's goroutine.
type NotifyFunc func(kind balancer.UpdateKind, list List)

// Watch follows the list of a Client.
type Watch struct {
	Client *Client
	After  *uint64 // version of the caller's list; nil where it has none
	Notify NotifyFunc
	// Resubscribes continues the watch after a failure, which is needed where lists are pushed and the
	// balancer never polls. Otherwise the balancer decides when to call again.
	Resubscribes bool
	Log          *slog.Logger
}

// Run watches until a call fails or, where the watch resubscribes, until ctx ends. It may be called once.
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

// runOnce watches until a call fails, and notifies of the failure. Its first call does not wait for
// changes: the answer is the balancer's sign that the watch has begun.
func (w *Watch) runOnce(ctx context.Context) error {
	for wait := time.Duration(0); ; wait = MaxWait {
		list, err := w.Client.List(ctx, w.After, wait)
		if errors.Is(err, ErrOlderVersion) {
			w.After = nil // which asks for the full list
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

// sleep returns after a pause, or with the context's error when that ends first.
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
