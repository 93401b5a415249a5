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
	// initialFeedBackoff is the longest delay after the first failed call of a feed
	// whose calls alone fail, while the store serves others. It doubles with each
	// further failure, up to maxFeedBackoffShare.
	initialFeedBackoff  = 200 * time.Millisecond
	maxFeedBackoffShare = 0.25
)

// storeReader reads one feed from the store: one list call, then watch calls
// for the changes since.
type storeReader struct {
	hub         *hub
	gate        *storeGate
	contactTime time.Duration // see HostSettings.Contact
	log         zerolog.Logger
	panics      *panicHandler
	up          bool
	refused     bool // whether the last call was refused
	// failures counts failed calls in a row that were made while the gate was open.
	failures int
}

func (r *registry) newStoreReader(h *hub) *storeReader {
	return &storeReader{hub: h, gate: r.gate, contactTime: r.contactTime, log: r.log, panics: r.panics}
}

// run reads the feed until ctx ends.
func (r *storeReader) run(ctx context.Context) {
	defer r.hub.setStoreUp(false, false)
	var at core.Position
	listed := false
	for {
		call, ok := r.gate.begin(ctx, r.refused, never, r.held)
		if !ok {
			return
		}
		update, applied, err := r.poll(ctx, call, listed, at)
		r.gate.end(ctx, call, err)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			listed = false
			r.log.Warn().Str("event", "store_history_gone").Str("feed", r.hub.feed.Name).Uint64("era", at.Era).Uint64("revision", at.Revision).Msg("the store no longer holds the changes since this revision; listing again")
		case err != nil:
			r.failed(ctx, call, err)
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
func (r *storeReader) poll(ctx context.Context, call storeCall, listed bool, after core.Position) (update platform.Update, applied bool, err error) {
	defer r.panics.recoverPanic("registry", "", func() { err = errUnexpected })
	if update, err = r.call(ctx, call, listed, after); err == nil {
		applied = r.hub.apply(update)
	}
	return update, applied, err
}

// call makes one list or watch call. While the store does not answer, watch
// calls are short, so that its recovery is detected soon.
func (r *storeReader) call(ctx context.Context, call storeCall, listed bool, after core.Position) (platform.Update, error) {
	purpose := platform.PurposeList
	switch {
	case call.probe:
		purpose = platform.PurposeProbe
	case listed:
		purpose = platform.PurposeWatch
	}
	ctx = platform.WithPurpose(ctx, purpose)
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
	r.failures, r.refused = 0, false
	if r.up {
		return
	}
	r.up = true
	r.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Str("feed", r.hub.feed.Name).Msg("the store answers")
}

// held records that this feed has no call. If the store refuses the host's calls, that
// counts for this feed too: entries that it lacks later may have expired meanwhile.
func (r *storeReader) held(refused bool) {
	r.failures = 0
	if refused {
		r.up = false
		r.hub.setStoreUp(false, true)
	}
}

// failed records a failed call. The gate delays the next one, unless the store serves
// the calls of other feeds.
func (r *storeReader) failed(ctx context.Context, call storeCall, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.up || !r.refused {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", r.hub.feed.Name).AnErr("cause", err).Msg("the store does not answer")
	}
	r.up = false
	r.hub.setStoreUp(false, true)
	r.refused = true
	if call.probe {
		return
	}
	if r.failures++; r.failures > 1 {
		backoff := min(time.Duration(maxFeedBackoffShare*float64(r.contactTime)), initialFeedBackoff<<min(r.failures-2, 8))
		pause(ctx, time.Duration(float64(backoff)*(0.5+0.5*rand.Float64())))
	}
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
