package owner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// quarantineAt is the number of upstreams lost that quarantines a fingerprint.
const quarantineAt = 2

// suspicion returns OK, or why a fingerprint may not run on the attempt's
// upstream. A suspect runs on one upstream of a service only, which every
// owner works out in the same way: so no two owners need to ask each other.
func (o *Owner) suspicion(now time.Time, a *attempt) core.Kind {
	entry := o.suspects.get(now, a.print)
	switch {
	case entry == nil:
		return core.OK
	case entry.total() >= quarantineAt:
		return core.Quarantined
	case o.designated(entry, a.print, a.share.up.Service) != a.share.up.ID:
		return core.UpstreamShed
	}
	return core.OK
}

// aloneEnough says that the attempt would not share the upstream with a
// suspect: then a death tells which request caused it, and takes no other
// work along.
func (o *Owner) aloneEnough(now time.Time, a *attempt) bool {
	running := a.share.running
	if o.suspects.known(now, a.print) {
		return len(running) == 0
	}
	return !slices.ContainsFunc(running, func(r *attempt) bool { return r.suspect })
}

// designated returns the only upstream of a service that a suspect may run
// on: by rendezvous among those that may take work, before any that was lost
// to it.
func (o *Owner) designated(entry *suspect, print core.Fingerprint, id core.ServiceID) core.UpstreamID {
	service := o.topology.Services[id]
	if service == nil {
		return ""
	}
	var best core.UpstreamID
	var bestLost bool
	var bestWeight uint64
	for _, up := range service.Upstreams {
		if !o.topology.AcceptsWork(up) {
			continue
		}
		lost := entry.losses[up] > 0
		weight := rendezvous(print, up)
		better := best == "" || (bestLost && !lost) || (bestLost == lost && weight > bestWeight)
		if better {
			best, bestLost, bestWeight = up, lost, weight
		}
	}
	return best
}

func rendezvous(print core.Fingerprint, up core.UpstreamID) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(print[:])
	_, _ = digest.WriteString(string(up))
	return digest.Sum64()
}

// suspect counts a loss against an attempt's fingerprint and tells all hosts.
// It comes before the attempt's own reply, so that the origin has heard of it,
// and passed it on, before it can try again elsewhere.
func (o *Owner) suspect(now time.Time, a *attempt, out *core.Actions) {
	if a.print == (core.Fingerprint{}) {
		return
	}
	entry := o.suspects.add(now, a.print)
	up := a.share.up.ID
	entry.losses[up]++
	a.share.lostPrints = append(a.share.lostPrints, a.print)
	o.stats.Suspects++
	o.broadcast(entry.message(now, a.print, up), out)
	o.enforce(now, a.print, out)
}

// retract takes back the losses counted against attempts whose connection
// broke although the upstream has not restarted.
func (o *Owner) retract(now time.Time, s *share, out *core.Actions) {
	for _, print := range s.lostPrints {
		entry := o.suspects.get(now, print)
		if entry == nil || entry.losses[s.up.ID] == 0 {
			continue
		}
		entry.losses[s.up.ID]--
		o.broadcast(entry.message(now, print, s.up.ID), out)
		if entry.total() == 0 {
			o.suspects.remove(print)
		}
	}
	s.lostPrints = nil
}

// absolve clears a suspect that has run with success.
func (o *Owner) absolve(now time.Time, a *attempt, out *core.Actions) {
	entry := o.suspects.get(now, a.print)
	if entry == nil || entry.total() >= quarantineAt {
		return
	}
	o.suspects.remove(a.print)
	o.broadcast(&peerpb.Suspect{Fingerprint: a.print[:]}, out)
}

func (o *Owner) broadcast(m *peerpb.Suspect, out *core.Actions) {
	message := &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}}
	for _, host := range o.cfg.Members.Live() {
		if host != o.cfg.Self {
			out.Send(host, message)
		}
	}
}

// greet tells a host that is heard for the first time, or has started afresh,
// of all suspects.
func (o *Owner) greet(now time.Time, host core.HostID, out *core.Actions) {
	if host == o.cfg.Self {
		return
	}
	for _, m := range o.suspects.messages(now) {
		out.Send(host, &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}})
	}
}

// suspectMessage takes another owner's word. A loss that is news is passed on
// to the owners of the service's other upstreams: this host may be the one
// that tries there next, and its messages arrive in the order sent.
func (o *Owner) suspectMessage(now time.Time, from core.HostID, m *peerpb.Suspect, out *core.Actions) {
	var print core.Fingerprint
	if len(m.Fingerprint) != len(print) {
		return
	}
	copy(print[:], m.Fingerprint)
	if !o.suspects.merge(now, print, m) {
		return
	}
	if m.Losses > 0 {
		o.relay(from, m, out)
	}
	o.enforce(now, print, out)
}

func (o *Owner) relay(from core.HostID, m *peerpb.Suspect, out *core.Actions) {
	up := o.topology.Upstreams[core.UpstreamID(m.Upstream)]
	if up == nil || o.topology.Services[up.Service] == nil {
		return
	}
	message := &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}}
	for _, twin := range o.topology.Services[up.Service].Upstreams {
		owner, known := o.cfg.Owners.OwnerOf(twin)
		if known && owner != o.cfg.Self && owner != from {
			out.Send(owner, message)
		}
	}
}

// enforce applies a change of the table to the work that is here already:
// what may not run any more is cancelled, and the queues are looked at again.
func (o *Owner) enforce(now time.Time, print core.Fingerprint, out *core.Actions) {
	entry := o.suspects.get(now, print)
	if entry == nil {
		return
	}
	if entry.total() >= quarantineAt && !entry.announced {
		entry.announced = true
		o.stats.Quarantined++
		out.Add(quarantineRecord(print, entry))
	}
	for _, s := range o.ordered {
		for _, a := range s.running {
			if a.print == print && o.suspicion(now, a) != core.OK {
				o.cancel(now, a, out)
			}
		}
		o.dropSuspects(now, s, print, out)
	}
}

// dropSuspects answers the queued attempts of a fingerprint that may not run.
func (o *Owner) dropSuspects(now time.Time, s *share, print core.Fingerprint, out *core.Actions) {
	for _, a := range slices.Clone(s.queue) {
		if a.print != print {
			continue
		}
		if kind := o.suspicion(now, a); kind != core.OK {
			o.dequeue(a)
			o.answerNotRun(now, a, kind, o.suspects.comeBack(now, print), out)
		}
	}
}
