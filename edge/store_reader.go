package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// The shares below are fractions of the contact time, within which a host
	// has to be up to date once the store works again.
	//
	// watchWaitShare is how long a watch call waits in the store, and
	// watchSlackShare how much longer the call may take. A watch that the store
	// has lost fails after the sum of both; until then the hosts that follow this
	// one use upstreams that are gone.
	watchWaitShare  = 0.4
	watchSlackShare = 0.2
	// probeWatchWait is how long the first watch after a failed call waits in
	// the store.
	probeWatchWait = 20 * time.Millisecond
	// batchDelay is the delay after changes, so that one call returns several
	// changes in quick succession.
	batchDelay = 200 * time.Millisecond
	// listTimeoutShare bounds a list call of a store reader, listTimeout any
	// other list call.
	listTimeoutShare = 0.375
	listTimeout      = 1500 * time.Millisecond
	// initialStoreBackoff is the longest delay after the first failed call. It
	// doubles with each further failure, up to maxBackoffShare.
	initialStoreBackoff = 200 * time.Millisecond
	maxBackoffShare     = 0.25
)

// storeReader reads one feed from the store: one list call, then watch calls
// for the changes since.
type storeReader struct {
	hub         *hub
	contactTime time.Duration // see HostSettings.Contact
	log         zerolog.Logger
	panics      *panicHandler
	up          bool
	failures    int
}

// run reads the feed until ctx ends.
func (r *storeReader) run(ctx context.Context) {
	defer r.hub.setStoreUp(false, false)
	var at core.Position
	listed := false
	for ctx.Err() == nil {
		update, applied, err := r.poll(ctx, listed, at)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			listed = false
			r.log.Warn().Str("event", "store_history_gone").Str("feed", r.hub.feed.Name).Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("the store no longer holds the changes since this revision; listing again")
		case err != nil:
			r.failed(ctx, err)
		default:
			r.succeeded()
			at = update.Position()
			listed = applied
			r.hub.setStoreUp(true, false)
			if len(update.Changes) > 0 {
				pause(ctx, batchDelay)
			}
		}
	}
}

// poll makes one call and applies its result. applied is false if the update
// does not follow on the state at hand, and a list is needed.
func (r *storeReader) poll(ctx context.Context, listed bool, after core.Position) (update platform.Update, applied bool, err error) {
	defer r.panics.recoverPanic("registry", "", func() { err = errUnexpected })
	if update, err = r.call(ctx, listed, after); err == nil {
		applied = r.hub.apply(update)
	}
	return update, applied, err
}

// call makes one list or watch call. While the store does not answer, watch
// calls are short, so that its recovery is detected soon.
func (r *storeReader) call(ctx context.Context, listed bool, after core.Position) (platform.Update, error) {
	if listed {
		wait := time.Duration(watchWaitShare * float64(r.contactTime))
		if !r.up {
			wait = probeWatchWait
		}
		ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(watchSlackShare*float64(r.contactTime)))
		defer cancel()
		return r.hub.feed.Watch(ctx, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(listTimeoutShare*float64(r.contactTime)))
	defer cancel()
	return r.hub.feed.List(ctx)
}

func (r *storeReader) succeeded() {
	r.failures = 0
	if r.up {
		return
	}
	r.up = true
	r.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Str("feed", r.hub.feed.Name).Msg("the store answers")
}

// failed records a failed call and backs off.
func (r *storeReader) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.up || r.failures == 0 {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", r.hub.feed.Name).AnErr("cause", err).Msg("the store does not answer")
	}
	r.up = false
	r.hub.setStoreUp(false, true)
	maxBackoff := time.Duration(maxBackoffShare * float64(r.contactTime))
	backoff := min(maxBackoff, initialStoreBackoff<<min(r.failures, 8))
	r.failures++
	pause(ctx, time.Duration(float64(backoff)*(0.5+0.5*rand.Float64())))
}

// pause sleeps, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
