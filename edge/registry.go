package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// watchWait is how long a watch waits in the store. A store that falls
	// silent is noticed after this and watchSlack, well before the bound on
	// new configurations.
	watchWait = 4 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 1200 * time.Millisecond
	// listTimeout ends the reading of a list.
	listTimeout = 1500 * time.Millisecond
	// firstStoreBackoff is the pause after a call that failed; it doubles up to
	// maxStoreBackoff.
	firstStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff   = time.Second
)

// follower is the duty that follows one feed of the store.
type follower struct {
	feed   *platform.Feed
	report func(scatter.Event)
	// reachable is told when the store stops or begins to answer; it may be
	// nil.
	reachable func(bool)
	log       zerolog.Logger
	up        bool
	failures  int
}

// run follows the feed until ctx ends.
func (f *follower) run(ctx context.Context) {
	var revision uint64
	listed := false
	for ctx.Err() == nil {
		news, err := f.next(ctx, listed, revision)
		switch {
		case errors.Is(err, platform.ErrCompacted):
			listed = false
			f.log.Warn().Str("event", "store_history_gone").Str("feed", f.feed.Name).Uint64("revision", revision).Msg("listing again")
		case err != nil:
			f.failed(ctx, err)
		default:
			f.succeeded()
			listed, revision = true, news.Revision
			f.deliver(news)
		}
	}
}

func (f *follower) next(ctx context.Context, listed bool, revision uint64) (platform.News, error) {
	if listed {
		ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		defer cancel()
		return f.feed.Watch(ctx, revision, watchWait)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.feed.List(ctx)
}

func (f *follower) deliver(news platform.News) {
	for _, problem := range news.Problems {
		f.log.Warn().Str("event", "entry_ignored").Str("feed", f.feed.Name).Uint64("revision", news.Revision).AnErr("cause", problem).Msg("an entry names nothing to use")
	}
	for _, event := range news.Events {
		f.report(event)
	}
}

func (f *follower) succeeded() {
	f.failures = 0
	if f.up {
		return
	}
	f.up = true
	f.log.Info().Str("event", "dependency_regained").Str("feed", f.feed.Name).Msg("the store answers")
	if f.reachable != nil {
		f.reachable(true)
	}
}

// failed pauses after a call without a result.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.up || f.failures == 0 {
		f.log.Warn().Str("event", "dependency_lost").Str("feed", f.feed.Name).AnErr("cause", err).Msg("the store does not answer")
	}
	if f.up && f.reachable != nil {
		f.reachable(false)
	}
	f.up = false
	backoff := min(maxStoreBackoff, firstStoreBackoff<<min(f.failures, 8))
	f.failures++
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
