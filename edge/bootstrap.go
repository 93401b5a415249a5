package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// This file holds the one-time reads of a host: at its start, before its
// streams are up, and while neither a stream nor the store works.

// firstStreamDelay is how long a host that starts waits for its streams to bring the
// feeds before it lists them itself.
const firstStreamDelay = 200 * time.Millisecond

// loadFeeds lists the missing feeds once if this host is active and no stream brings
// them soon, so that it can serve. A reader lists all feeds anyway.
func (r *registry) loadFeeds(ctx context.Context) {
	defer func() { r.lastStreamEnd.Store(int64(time.Since(r.started))) }()
	p := r.current.Load()
	if !p.active || p.isReader() {
		return
	}
	for until := time.Now().Add(firstStreamDelay); !p.alone() && !r.allFeedsLoaded() && time.Now().Before(until) && ctx.Err() == nil; {
		pause(ctx, roleDelay)
	}
	var tasks sync.WaitGroup
	for _, hub := range r.hubs {
		if hub == r.hosts || hub.isLoaded() {
			continue
		}
		tasks.Go(func() {
			defer r.panics.recoverPanic("registry", "", nil)
			if err := r.listOnce(ctx, hub, platform.PurposeStart); err != nil {
				r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Str("feed", hub.feed.Name).AnErr("cause", err).Msg("listing a feed failed; waiting for the streams")
			}
		})
	}
	tasks.Wait()
}

// listOnce lists a feed from the store and applies the result.
func (r *registry) listOnce(ctx context.Context, hub *hub, purpose platform.Purpose) error {
	var update platform.Update
	err, _ := r.gate.run(ctx, false, never, listTimeout, func(ctx context.Context) (err error) {
		update, err = hub.feed.List(platform.WithPurpose(ctx, purpose))
		return err
	})
	if err == nil {
		hub.apply(update)
	}
	return err
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
	if err := r.listOnce(ctx, r.hosts, platform.PurposeHosts); err != nil {
		r.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").AnErr("cause", err).Msg("listing the hosts failed")
	}
}

// loadHostsFromSeeds queries all seeds in parallel until one returns the list of hosts
// or the time for it is over, and reports whether one did.
func (r *registry) loadHostsFromSeeds(ctx context.Context) bool {
	if len(r.seeds) == 0 || slices.Contains(r.seeds, r.self.Address) {
		return false // a seed reads the store, on behalf of the others
	}
	timeout := seedTimeout
	if r.firstStart {
		timeout = seedFirstTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loaded := make(chan struct{}, len(r.seeds))
	for _, seed := range r.seeds {
		go func() {
			defer r.panics.recoverPanic("registry", "", nil)
			for r.fetchSnapshot(ctx, seed, platform.HostFeedName) != nil {
				if pause(ctx, seedRetryDelay); ctx.Err() != nil {
					return
				}
			}
			loaded <- struct{}{}
		}()
	}
	select {
	case <-loaded:
		return true
	case <-ctx.Done():
		return false
	}
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

// refreshHosts updates the list of hosts of an entry host without a stream: from other
// hosts, and at longer intervals from the store.
func (w *registrySupervisor) refreshHosts(ctx context.Context, p *plan, cutOffFor time.Duration) {
	r := w.registry
	if w.listInterval == 0 {
		w.listInterval = scatter.ListHostsInterval(len(p.ranked), rand.Float64())
	}
	if cutOffFor > hostSnapshotInterval && time.Since(w.lastSnapshot) > hostSnapshotInterval && !p.alone() {
		w.lastSnapshot = time.Now()
		h := p.ranked[rand.IntN(len(p.ranked))]
		w.tasks.Go(func() {
			defer r.panics.recoverPanic("registry", "", nil)
			if err := r.fetchSnapshot(ctx, h.Address, platform.HostFeedName); err != nil {
				r.log.Debug().Str("event", "host_silent").Str("peer", string(h.ID)).AnErr("cause", err).Msg("requesting the list of hosts failed")
			}
		})
	}
	if min(cutOffFor, time.Since(w.lastHostList)) > w.listInterval {
		w.lastHostList, w.listInterval = time.Now(), scatter.ListHostsInterval(len(p.ranked), rand.Float64())
		w.tasks.Go(func() { r.loadHosts(ctx) })
	}
}

// hostSnapshotInterval is the interval at which an entry host without a stream requests
// the list of hosts from one of the other hosts.
const hostSnapshotInterval = 3 * time.Second
