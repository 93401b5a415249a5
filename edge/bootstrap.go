package edge

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// This file holds the one-time reads of a host: at its start, before its
// streams are up, and while neither a stream nor the store works.

// loadFeeds lists all feeds once if this host is active, so that it can serve
// before its streams are up.
func (r *registry) loadFeeds(ctx context.Context) {
	defer func() { r.lastStreamEnd.Store(int64(time.Since(r.started))) }()
	pause(ctx, roleDelay)
	if !r.current.Load().active {
		return
	}
	var tasks sync.WaitGroup
	for _, hub := range r.hubs {
		if hub == r.hosts {
			continue
		}
		tasks.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			defer r.panics.recoverPanic("registry", "", nil)
			update, err := hub.feed.List(callCtx)
			if err != nil {
				r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", hub.feed.Name).AnErr("cause", err).Msg("listing a feed failed; waiting for the streams")
				return
			}
			hub.apply(update)
		})
	}
	tasks.Wait()
}

// roleDelay gives the core the time to determine its role from the list of
// hosts.
const roleDelay = 5 * time.Millisecond

// loadHosts reads the list of hosts once, from a seed or, if no seed answers
// within seedTimeout, from the store.
func (r *registry) loadHosts(ctx context.Context) {
	defer r.panics.recoverPanic("registry", "", nil)
	if r.loadHostsFromSeeds(ctx) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	update, err := r.hosts.feed.List(callCtx)
	if err != nil {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").AnErr("cause", err).Msg("listing the hosts failed")
		return
	}
	r.hosts.apply(update)
}

// loadHostsFromSeeds queries all seeds in parallel, and reports whether one of
// them returned the list of hosts.
func (r *registry) loadHostsFromSeeds(ctx context.Context) bool {
	answers := make(chan error, len(r.seeds))
	queried := 0
	for _, seed := range r.seeds {
		if seed == r.self.Address {
			return false // a seed reads the store, on behalf of the others
		}
		queried++
		go func() {
			defer r.panics.recoverPanic("registry", "", func() { answers <- errUnexpected })
			answers <- r.fetchSnapshot(ctx, seed, platform.HostFeedName)
		}()
	}
	timeout := time.After(seedTimeout)
	for range queried {
		select {
		case err := <-answers:
			if err == nil {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return false
}

// fetchSnapshot reads a feed's full state from another host and applies it.
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

// fetchMissingFeeds reads the feeds that have not been loaded from the hosts
// that rank first, while neither the store nor a stream delivers them. Their
// state may be outdated, so it does not count as a source: this host still
// counts as cut off from the store.
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
				r.log.Warn().Str("event", "learned_from_host").Str("feed", hub.feed.Name).Str("from", string(h.ID)).Msg("loaded a possibly outdated feed from another host")
			}
		}
	}
}

// allFeedsLoaded reports whether every feed has been loaded.
func (r *registry) allFeedsLoaded() bool {
	for _, hub := range r.hubs {
		if !hub.isLoaded() {
			return false
		}
	}
	return true
}
