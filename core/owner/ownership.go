package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// discover creates a share for each newly held upstream, so that connections
// are open before the first sub-query. It also forgets inactive senders.
func (o *Owner) discover(now time.Time) {
	for id, up := range o.topology.Upstreams {
		if o.shares[id] == nil && o.cfg.Owners.Holds(now, id) {
			o.newShare(now, up)
		}
	}
	for host, last := range o.senders {
		if now.Sub(last) > o.cfg.ReportTo {
			delete(o.senders, host)
		}
	}
}

// sync refreshes every share, dispatches its queue, maintains its connections
// and drops it if it is no longer held and no attempt is running.
func (o *Owner) sync(now time.Time, out *core.Actions) {
	for i := 0; i < len(o.ordered); i++ {
		s := o.ordered[i]
		if s.drain.expired(now) {
			o.drainEnded(now, s)
		}
		o.dispatchQueued(now, s, out)
		o.requestConns(now, s, out)
		o.closeIdle(s, out)
		if !s.held && len(s.running) == 0 {
			out.Add(core.CloseConns{Upstream: s.up.ID})
			o.dropShare(s)
			i--
		}
	}
}

// closeIdle closes the idle connections to an upstream that was taken out of
// service or that drains, so that it can stop.
func (o *Owner) closeIdle(s *share, out *core.Actions) {
	leaving := !s.allowed || s.drain.active
	idle := s.conns.verified+s.conns.unverified > 0
	if !leaving || !idle || len(s.running) > 0 {
		return
	}
	s.conns.verified, s.conns.unverified = 0, 0
	out.Add(core.CloseConns{Upstream: s.up.ID})
}

// refresh updates a share from the ownership and the topology. It returns OK,
// or why the share accepts no work.
func (o *Owner) refresh(now time.Time, s *share, out *core.Actions) core.Kind {
	o.refreshOwnership(now, s, out)
	o.refreshTopology(now, s)
	return o.refusal(now, s)
}

func (o *Owner) refreshOwnership(now time.Time, s *share, out *core.Actions) {
	holds := o.cfg.Owners.Holds(now, s.up.ID)
	switch {
	case holds && !s.held:
		o.shareAcquired(now, s)
	case !holds && s.held:
		o.shareLost(now, s, out)
	}
	if !o.cfg.Owners.Draining(s.up.ID) {
		s.releasedAt = time.Time{}
	}
}

// shareAcquired initializes a share that this host has come to hold. The
// upstream is assumed to be cold, since it may have restarted in the meantime,
// unless the last holder released it as warm and its warm instance is known.
func (o *Owner) shareAcquired(now time.Time, s *share) {
	s.held, s.releasedAt = true, time.Time{}
	s.conns.invalidate()
	instance := o.warmInstances[s.up.ID]
	if instance == "" || !o.cfg.Owners.KnownWarm(s.up.ID) {
		s.limiter.Restarted(now)
		return
	}
	s.conns.instanceKnown, s.conns.instance = true, instance
}

// shareLost marks a share as lost to another host. Repeatable work on a warm
// upstream may overlap with the new holder's work; any other is cancelled.
func (o *Owner) shareLost(now time.Time, s *share, out *core.Actions) {
	s.held = false
	o.recordWarmInstance(s.up.ID, s.warmInstance(now))
	for _, a := range s.running {
		if needsExclusive(now, a) {
			o.cancel(now, a, out)
		}
	}
}

func (o *Owner) refreshTopology(now time.Time, s *share) {
	if up := o.topology.Upstreams[s.up.ID]; up != nil && up != s.up {
		o.replaceUpstream(now, s, up)
	}
	allowed := o.topology.AcceptsWork(s.up.ID)
	if allowed && !s.allowed {
		s.conns.invalidate()
		s.limiter.Restarted(now)
	}
	s.allowed = allowed
}

// replaceUpstream applies a newer declaration of the upstream. The limiter is
// replaced if the address, the slots or the cold start have changed.
func (o *Owner) replaceUpstream(now time.Time, s *share, up *core.Upstream) {
	old := s.up
	s.up = up
	moved := old.Address != up.Address
	if !moved && old.Slots == up.Slots && old.Cold == up.Cold {
		return
	}
	cold := s.limiter.Cold(now)
	s.limiter = o.cfg.Limiter(up)
	if moved {
		s.conns.invalidate()
	}
	if cold || moved {
		s.limiter.Restarted(now)
	}
}

// refusal returns OK, or why the share accepts no work now.
func (o *Owner) refusal(now time.Time, s *share) core.Kind {
	id := s.up.ID
	switch {
	case !s.held || o.cfg.Owners.Draining(id):
		return core.NoOwner
	case !s.allowed:
		return core.TakenOut
	case o.stopping:
		return core.Stopping
	case s.drain.active:
		return core.UpstreamShed
	case s.cold(now) && !now.Before(o.cfg.Owners.ExclusiveUntil(id)):
		return core.PlatformUnavailable
	}
	return core.OK
}

// releaseIdle releases a share that is about to move to another host once nothing
// is in flight. The release is repeated every DiscoverEvery while the share is
// still held and about to move, since the first one may not have taken effect.
func (o *Owner) releaseIdle(now time.Time, s *share, out *core.Actions) {
	ready := s.held && len(s.running)+s.settlingSlots(now) == 0 && now.Sub(s.releasedAt) >= o.cfg.DiscoverEvery
	if !ready || !o.cfg.Owners.Draining(s.up.ID) {
		return
	}
	s.releasedAt = now
	o.sendLoads(now, []*peerpb.Load{s.reportLoad(now)}, out)
	o.cfg.Owners.Release(now, s.up.ID, !s.cold(now) && s.allowed && !s.drain.active, out)
}
