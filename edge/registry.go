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
	// watchWait is how long a watch waits in the store. A store that falls
	// silent is noticed after this and watchSlack, well before the bound on
	// new configurations.
	watchWait = 4 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 1200 * time.Millisecond
	// batchChanges is the pause after changes, so that those that follow each
	// other closely come with one call.
	batchChanges = 200 * time.Millisecond
	// listTimeout ends the reading of a list.
	listTimeout = 1500 * time.Millisecond
	// firstStoreBackoff is the pause after a call that failed; it doubles up to
	// maxStoreBackoff.
	firstStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff   = time.Second
)

// storeReader is the duty that reads one feed from the store.
type storeReader struct {
	hub      *hub
	log      zerolog.Logger
	up       bool
	failures int
}

// run reads the feed until ctx ends.
func (r *storeReader) run(ctx context.Context) {
	defer r.hub.setStoreUp(false)
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		update, err := r.next(ctx, listed, revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			listed = false
			r.log.Warn().Str("event", "store_history_gone").Str("feed", r.hub.feed.Name).Uint64("revision", revision).Msg("listing again")
		case err != nil:
			r.failed(ctx, err)
		default:
			r.succeeded()
			revision = update.Revision
			listed = r.hub.apply(update)
			r.hub.setStoreUp(true)
			if len(update.Changes) > 0 {
				pause(ctx, batchChanges)
			}
		}
	}
}

func (r *storeReader) next(ctx context.Context, listed bool, revision uint64) (platform.Update, error) {
	if listed {
		ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		defer cancel()
		return r.hub.feed.Watch(ctx, revision, watchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
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
	backoff := min(maxStoreBackoff, firstStoreBackoff<<min(r.failures, 8))
	r.failures++
	pause(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64())))
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
