package edge

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// What a host reads at its start, before its streams are up.

// prime reads everything once, if this host has to know it, so that it can serve
// before its streams are up.
func (r *registry) loadFeeds(ctx context.Context) {
	defer func() { r.lastStreamEnd.Store(int64(time.Since(r.started))) }()
	pause(ctx, roleDelay)
	if !r.current.Load().active {
		return
	}
	var lists sync.WaitGroup
	for _, hub := range r.hubs {
		if hub == r.hosts {
			continue
		}
		lists.Go(func() {
			attempt, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			defer r.panics.recoverPanic("registry", "", nil)
			update, err := hub.feed.List(attempt)
			if err != nil {
				r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", hub.feed.Name).AnErr("cause", err).Msg("the streams have to bring it")
				return
			}
			hub.apply(update)
		})
	}
	lists.Wait()
}

// coreSettles is how long the core gets to learn its role from the hosts.
const roleDelay = 5 * time.Millisecond

// learnHosts reads the hosts once, from a seed or, if none answers soon, from
// the store.
func (r *registry) loadHosts(ctx context.Context) {
	defer r.panics.recoverPanic("registry", "", nil)
	if r.loadHostsFromSeeds(ctx) {
		return
	}
	attempt, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	update, err := r.hosts.feed.List(attempt)
	if err != nil {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").AnErr("cause", err).Msg("no host is known")
		return
	}
	r.hosts.apply(update)
}

// askSeeds asks all seeds at once, and returns whether one of them knew the
// hosts.
func (r *registry) loadHostsFromSeeds(ctx context.Context) bool {
	answers := make(chan error, len(r.seeds))
	asked := 0
	for _, seed := range r.seeds {
		if seed == r.self.Address {
			return false // a seed asks the store, for the others
		}
		asked++
		go func() {
			defer r.panics.recoverPanic("registry", "", func() { answers <- errUnexpected })
			answers <- r.fetchSnapshot(ctx, seed, platform.HostFeedName)
		}()
	}
	patience := time.After(seedTimeout)
	for range asked {
		select {
		case err := <-answers:
			if err == nil {
				return true
			}
		case <-patience:
			return false
		}
	}
	return false
}

// snapshot reads a feed from another host.
func (r *registry) fetchSnapshot(ctx context.Context, address, feed string) error {
	client, err := r.peers.client(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	message, err := client.Snapshot(ctx, &edgepb.SnapshotRequest{Feed: feed})
	if err != nil {
		return eris.Wrap(err, "snapshot")
	}
	return r.applyMessage(message)
}

// askHosts reads what this host does not know from hosts that follow or read
// the store, while neither the store nor a stream brings it. What they know may
// be old: it has no source, so this host counts as cut off from the store.
func (r *registry) fetchMissingFeeds(ctx context.Context) {
	defer r.panics.recoverPanic("registry", "", nil)
	ranked := r.current.Load().ranked
	for _, hub := range r.hubs {
		for _, h := range ranked[:min(len(ranked), fetchCandidates)] {
			if hub.isLoaded() {
				break
			}
			if h.ID == r.self.ID {
				continue
			}
			if err := r.fetchSnapshot(ctx, h.Address, hub.feed.Name); err == nil {
				r.log.Warn().Str("event", "learned_from_host").Str("feed", hub.feed.Name).Str("from", string(h.ID)).Msg("it may be old")
			}
		}
	}
}

// knowsAll says whether each feed has brought something.
func (r *registry) allFeedsLoaded() bool {
	for _, hub := range r.hubs {
		if !hub.isLoaded() {
			return false
		}
	}
	return true
}
