package edge

import (
	"context"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// keepStream keeps one stream open to one of the readers. When a stream ends it
// tries the next reader; each slot starts with a different one.
func (r *registry) keepStream(ctx context.Context, others []scatter.Host, slot, slots int, feeds []string) {
	failures := 0
	for at := slot; ctx.Err() == nil; at += slots {
		reader := others[at%len(others)]
		up := false
		follow := func(ctx context.Context, feeds []string) error {
			return r.follow(ctx, reader, feeds, func(from scatter.RegistrySource) {
				up, failures = true, 0
				r.streamChanged(true, feeds, from)
				r.log.Info().Str("event", "dependency_regained").Str("dependency", "reader").Str("reader", string(reader.ID)).
					Dur("store_up_for", from.UpFor).Bool("store_failed", from.Failed).Msg("following")
			})
		}
		err := follow(ctx, feeds)
		if known := withoutRollouts(feeds); !up && len(known) < len(feeds) && status.Code(err) == codes.InvalidArgument {
			err = r.followOlderBuild(ctx, known, follow)
			if up {
				r.streamChanged(false, known, scatter.RegistrySource{})
				up = false
			}
		}
		if up {
			r.streamChanged(false, feeds, scatter.RegistrySource{})
		}
		if ctx.Err() != nil {
			return
		}
		if failures == 0 {
			r.log.Warn().Str("event", "dependency_lost").Str("dependency", "reader").Str("reader", string(reader.ID)).AnErr("cause", err).Msg("the stream from a reader failed; trying the next one")
		}
		failures++
		if failures%len(others) == 0 {
			pause(ctx, followRetryDelay)
		}
	}
}

// withoutRollouts returns the feeds that hosts of older builds have.
func withoutRollouts(feeds []string) []string {
	return slices.DeleteFunc(slices.Clone(feeds), func(name string) bool {
		return name == platform.RolloutFeedName || name == platform.RolloutRecordFeedName
	})
}

// followOlderBuild follows a host that does not have the feeds of roll-outs. Meanwhile one
// task of this host reads these from the store, since nobody else may do so.
func (r *registry) followOlderBuild(ctx context.Context, known []string, follow func(context.Context, []string) error) error {
	if !r.readingRollouts.CompareAndSwap(false, true) {
		return follow(ctx, known)
	}
	defer r.readingRollouts.Store(false)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, name := range []string{platform.RolloutFeedName, platform.RolloutRecordFeedName} {
		go r.newStoreReader(r.hubs[name]).run(ctx)
	}
	return follow(ctx, known)
}
