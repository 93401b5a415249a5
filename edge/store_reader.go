package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// watchWaitShare and watchSlackShare of the time after which the platform
	// holds a host to its bounds are how long a watch waits in the store, and
	// how much longer it may take. A watch that the store forgot is noticed
	// after both.
	watchWaitShare  = 0.5
	watchSlackShare = 0.25
	// probeWait is how long the first watch waits after one that failed.
	probeWatchWait = 20 * time.Millisecond
	// batchChanges is the pause after changes, so that those that follow each
	// other closely come with one call.
	batchDelay = 200 * time.Millisecond
	// listShare of the time of contact ends the reading of a list by a reader,
	// listTimeout any other.
	listTimeoutShare = 0.375
	listTimeout      = 1500 * time.Millisecond
	// firstStoreBackoff is the longest pause after a call that failed; it
	// doubles up to maxBackoffShare of the time of contact.
	initialStoreBackoff = 200 * time.Millisecond
	maxBackoffShare     = 0.25
)

// storeReader is the duty that reads one feed from the store.
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
	defer r.hub.setStoreUp(false)
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		update, applied, err := r.poll(ctx, listed, revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			listed = false
			r.log.Warn().Str("event", "store_history_gone").Str("feed", r.hub.feed.Name).Uint64("revision", revision).Msg("listing again")
		case err != nil:
			r.failed(ctx, err)
		default:
			r.succeeded()
			revision = update.Revision
			listed = applied
			r.hub.setStoreUp(true)
			if len(update.Changes) > 0 {
				pause(ctx, batchDelay)
			}
		}
	}
}

// step makes one call and applies what it brought.
func (r *storeReader) poll(ctx context.Context, listed bool, revision uint64) (update platform.Update, applied bool, err error) {
	defer r.panics.recoverPanic("registry", "", func() { err = errUnexpected })
	if update, err = r.call(ctx, listed, revision); err == nil {
		applied = r.hub.apply(update)
	}
	return update, applied, err
}

// next makes one call. While the store does not answer, calls are short, so
// that its return is noticed soon.
func (r *storeReader) call(ctx context.Context, listed bool, revision uint64) (platform.Update, error) {
	if listed {
		wait := time.Duration(watchWaitShare * float64(r.contactTime))
		if !r.up {
			wait = probeWatchWait
		}
		ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(watchSlackShare*float64(r.contactTime)))
		defer cancel()
		return r.hub.feed.Watch(ctx, revision, wait)
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

// failed pauses after a call without a result.
func (r *storeReader) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.up || r.failures == 0 {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", r.hub.feed.Name).AnErr("cause", err).Msg("the store does not answer")
	}
	r.up = false
	r.hub.setStoreUp(false)
	longest := time.Duration(maxBackoffShare * float64(r.contactTime))
	backoff := min(longest, initialStoreBackoff<<min(r.failures, 8))
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
