package owner

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// discover makes a share for each upstream that this host has come to hold,
// so that its connections are warm before the first sub-query.
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

// sync looks at every share here.
func (o *Owner) sync(now time.Time, out *core.Actions) {
	for i := 0; i < len(o.ordered); i++ {
		s := o.ordered[i]
		if s.drain.over(now) {
			o.drainEnded(now, s)
		}
		o.pump(now, s, out)
		o.wantConns(now, s, out)
		o.closeIdle(s, out)
		if !s.held && len(s.running) == 0 {
			out.Add(core.CloseConns{Upstream: s.up.ID})
			o.dropShare(s)
			i--
		}
	}
}

// closeIdle closes the connections to an upstream that was taken out, or that
// drains, so that it may stop.
func (o *Owner) closeIdle(s *share, out *core.Actions) {
	leaving := !s.allowed || s.drain.active
	idle := s.conns.proven+s.conns.fresh > 0
	if !leaving || !idle || len(s.running) > 0 {
		return
	}
	s.conns.proven, s.conns.fresh = 0, 0
	out.Add(core.CloseConns{Upstream: s.up.ID})
}

// look brings a share up to date with the ownership and the topology and
// returns OK, or why it takes no work.
func (o *Owner) look(now time.Time, s *share, out *core.Actions) core.Kind {
	o.lookOwnership(now, s, out)
	o.lookTopology(now, s)
	return o.refusal(now, s)
}

func (o *Owner) lookOwnership(now time.Time, s *share, out *core.Actions) {
	holds := o.cfg.Owners.Holds(now, s.up.ID)
	switch {
	case holds && !s.held:
		o.gain(now, s)
	case !holds && s.held:
		o.lose(now, s, out)
	}
	if !o.cfg.Owners.Draining(s.up.ID) {
		s.releasedAt = time.Time{}
	}
}

// gain starts a share. Unless the last holder handed it over warm, and said
// which process was warm, the upstream is taken to be cold: it may have
// restarted on the way.
func (o *Owner) gain(now time.Time, s *share) {
	s.held, s.releasedAt = true, time.Time{}
	s.conns.unproven()
	instance := o.warmInstances[s.up.ID]
	if instance == "" || !o.cfg.Owners.KnownWarm(s.up.ID) {
		s.limiter.Restarted(now)
		return
	}
	s.conns.seen, s.conns.instance = true, instance
}

// lose ends a share that another host may hold by now. Warm, repeatable work
// may overlap with the new holder's; the rest may not.
func (o *Owner) lose(now time.Time, s *share, out *core.Actions) {
	s.held = false
	o.remember(s.up.ID, s.warmInstance(now))
	for _, a := range s.running {
		if needsExclusive(now, a) {
			o.cancel(now, a, out)
		}
	}
}

func (o *Owner) lookTopology(now time.Time, s *share) {
	if up := o.topology.Upstreams[s.up.ID]; up != nil && up != s.up {
		o.replaceUpstream(now, s, up)
	}
	allowed := o.topology.AcceptsWork(s.up.ID)
	if allowed && !s.allowed {
		s.conns.unproven()
		s.limiter.Restarted(now)
	}
	s.allowed = allowed
}

// replaceUpstream takes over a newer declaration of the upstream.
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
		s.conns.unproven()
	}
	if cold || moved {
		s.limiter.Restarted(now)
	}
}

// refusal returns OK, or why the share takes no work now.
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

// letGo gives a draining share up once nothing is in flight, and again while
// it is still held and draining: the first release may have come to nothing.
func (o *Owner) letGo(now time.Time, s *share, out *core.Actions) {
	ready := s.held && len(s.running)+s.settle(now) == 0 && now.Sub(s.releasedAt) >= o.cfg.DiscoverEvery
	if !ready || !o.cfg.Owners.Draining(s.up.ID) {
		return
	}
	s.releasedAt = now
	o.sendLoads(now, []*peerpb.Load{s.reportLoad(now)}, out)
	o.cfg.Owners.Release(now, s.up.ID, !s.cold(now) && s.allowed && !s.drain.active, out)
}
