package edge

import (
	"context"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// This file stores this host's own record.

// recordUpdateInterval is the minimum interval between two updates of a record that is
// outdated in the list of hosts.
const recordUpdateInterval = time.Second

// storeSituation returns what the back-off of this host's calls to the store depends on.
func (r *registry) storeSituation() scatter.StoreSituation {
	p := r.current.Load()
	return scatter.StoreSituation{Rank: p.rank(), Hosts: len(p.ranked), Active: p.active, Covered: r.openStreams.Load() > 0}
}

// register stores this host's record, and retries until the list of hosts contains it or
// ctx ends. It does nothing while another call of it runs.
func (r *registry) register(ctx context.Context) {
	if !r.registering.CompareAndSwap(false, true) {
		return
	}
	defer r.registering.Store(false)
	defer r.recordUrgent.Store(false)
	for retry := false; ; retry = true {
		self := r.self
		self.Partitioned = r.partitioned.Load()
		if r.hosts.contains(string(self.ID)) && platform.HostRegistered(r.hosts.object(string(self.ID)), self) {
			return
		}
		err, made := r.gate.run(ctx, retry, r.recordUrgent.Load, listTimeout, func(ctx context.Context) error {
			return platform.RegisterHost(platform.WithPurpose(ctx, platform.PurposeRegister), r.objects, self)
		})
		if err == nil || !made {
			return
		}
		r.log.Warn().Str("event", "register_failed").AnErr("cause", err).Msg("registering this host failed")
		if !platform.StoreRefused(err) {
			pause(ctx, recordUpdateInterval)
		}
	}
}

// reregisterDelay is how long a host may be missing from the list of hosts
// before it registers again.
const reregisterDelay = 5 * time.Second

// reregister stores this host's record again if another host removed it, or at once
// if the store lost it or it is outdated.
func (w *registrySupervisor) reregister(ctx context.Context) {
	r := w.registry
	if r.recordOutdated.Load() && time.Since(w.lastUpdate) > recordUpdateInterval {
		w.lastUpdate = time.Now()
		w.registerAgain(ctx)
	}
	delay := reregisterDelay
	if r.hostsRestored.Load() {
		delay = 0
	}
	switch {
	case !r.hosts.isLoaded():
		w.unlistedSince = time.Time{}
	case r.hosts.contains(string(r.self.ID)):
		r.hostsRestored.Store(false)
		w.unlistedSince = time.Time{}
	case w.unlistedSince.IsZero():
		w.unlistedSince = time.Now()
	case time.Since(w.unlistedSince) > delay:
		w.unlistedSince = time.Now()
		r.hostsRestored.Store(false)
		r.log.Warn().Str("event", "register_again").Msg("this host is missing from the list of hosts; registering again")
		w.registerAgain(ctx)
	}
}

// registerAgain stores this host's record, which other hosts need.
func (w *registrySupervisor) registerAgain(ctx context.Context) {
	w.registry.recordUrgent.Store(true)
	w.registry.gate.wake() // a registration that waits becomes urgent
	w.tasks.Go(func() { w.registry.register(ctx) })
}
