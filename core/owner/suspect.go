package owner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// quarantineThreshold is the number of losses that quarantines a fingerprint.
const quarantineThreshold = 2

// checkSuspect returns OK, or why the attempt's fingerprint may not run on its
// upstream. A suspect runs only on one designated upstream of a service. Every
// owner computes the same one, so the owners need no coordination.
func (o *Owner) checkSuspect(now time.Time, a *attempt) core.Kind {
	entry := o.suspects.get(now, a.fingerprint)
	switch {
	case entry == nil:
		return core.OK
	case entry.total() >= quarantineThreshold:
		return core.Quarantined
	case o.designated(entry, a.fingerprint, a.share.up.Service) != a.share.up.ID:
		return core.UpstreamShed
	}
	return core.OK
}

// isolationAllows reports whether the attempt may start without a suspect
// running beside other work on the upstream. With a suspect isolated, a crash
// identifies the request that caused it and loses no other attempt.
func (o *Owner) isolationAllows(now time.Time, a *attempt) bool {
	running := a.share.running
	if o.suspects.contains(now, a.fingerprint) {
		return len(running) == 0
	}
	return !slices.ContainsFunc(running, func(r *attempt) bool { return r.suspect })
}

// designated returns the only upstream of a service on which a suspect may
// run. It is chosen by rendezvous hashing among the upstreams that may accept
// work; those that the fingerprint has crashed come last.
func (o *Owner) designated(entry *suspect, fingerprint core.Fingerprint, id core.ServiceID) core.UpstreamID {
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
		weight := rendezvous(fingerprint, up)
		better := best == "" || (bestLost && !lost) || (bestLost == lost && weight > bestWeight)
		if better {
			best, bestLost, bestWeight = up, lost, weight
		}
	}
	return best
}

func rendezvous(fingerprint core.Fingerprint, up core.UpstreamID) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(fingerprint[:])
	_, _ = digest.WriteString(string(up))
	return digest.Sum64()
}

// recordSuspect counts a loss against an attempt's fingerprint and broadcasts it.
// It runs before the attempt's reply is sent, so that the origin has received
// and relayed the loss before it can retry on another upstream.
func (o *Owner) recordSuspect(now time.Time, a *attempt, out *core.Actions) {
	if a.fingerprint == (core.Fingerprint{}) {
		return
	}
	entry := o.suspects.add(now, a.fingerprint)
	up := a.share.up.ID
	entry.losses[up]++
	a.share.lostFingerprints = append(a.share.lostFingerprints, a.fingerprint)
	o.stats.Suspects++
	o.broadcast(entry.message(now, a.fingerprint, up), out)
	o.enforce(now, a.fingerprint, out)
}

// retractLosses undoes the losses of attempts whose connection broke although
// the upstream has not restarted.
func (o *Owner) retractLosses(now time.Time, s *share, out *core.Actions) {
	for _, fingerprint := range s.lostFingerprints {
		entry := o.suspects.get(now, fingerprint)
		if entry == nil || entry.losses[s.up.ID] == 0 {
			continue
		}
		entry.losses[s.up.ID]--
		o.broadcast(entry.message(now, fingerprint, s.up.ID), out)
		if entry.total() == 0 {
			o.suspects.remove(fingerprint)
		}
	}
	s.lostFingerprints = nil
}

// clearSuspect removes a suspect that has run successfully. A quarantine is not
// lifted.
func (o *Owner) clearSuspect(now time.Time, a *attempt, out *core.Actions) {
	entry := o.suspects.get(now, a.fingerprint)
	if entry == nil || entry.total() >= quarantineThreshold {
		return
	}
	o.suspects.remove(a.fingerprint)
	o.broadcast(&peerpb.Suspect{Fingerprint: a.fingerprint[:]}, out)
}

func (o *Owner) broadcast(m *peerpb.Suspect, out *core.Actions) {
	message := &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}}
	for _, host := range o.cfg.Members.Live() {
		if host != o.cfg.Self {
			out.Send(host, message)
		}
	}
}

// sendSuspects sends all suspects to a host whose current incarnation has just
// been seen for the first time.
func (o *Owner) sendSuspects(now time.Time, host core.HostID, out *core.Actions) {
	if host == o.cfg.Self {
		return
	}
	for _, m := range o.suspects.messages(now) {
		out.Send(host, &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}})
	}
}

// handleSuspect merges another owner's report. A new loss is relayed to the
// owners of the service's other upstreams: this host may send the next attempt
// there, and its messages arrive in order, so the loss arrives before it.
func (o *Owner) handleSuspect(now time.Time, from core.HostID, m *peerpb.Suspect, out *core.Actions) {
	var fingerprint core.Fingerprint
	if len(m.Fingerprint) != len(fingerprint) {
		return
	}
	copy(fingerprint[:], m.Fingerprint)
	if !o.suspects.merge(now, fingerprint, m) {
		return
	}
	if m.Losses > 0 {
		o.relaySuspect(from, m, out)
	}
	o.enforce(now, fingerprint, out)
}

func (o *Owner) relaySuspect(from core.HostID, m *peerpb.Suspect, out *core.Actions) {
	up := o.topology.Upstreams[core.UpstreamID(m.Upstream)]
	if up == nil || o.topology.Services[up.Service] == nil {
		return
	}
	message := &peerpb.Message{Body: &peerpb.Message_Suspect{Suspect: m}}
	for _, replica := range o.topology.Services[up.Service].Upstreams {
		owner, known := o.cfg.Owners.OwnerOf(replica)
		if known && owner != o.cfg.Self && owner != from {
			out.Send(owner, message)
		}
	}
}

// enforce applies a changed entry to the attempts already accepted: running
// ones that may no longer run are cancelled, queued ones are refused.
func (o *Owner) enforce(now time.Time, fingerprint core.Fingerprint, out *core.Actions) {
	entry := o.suspects.get(now, fingerprint)
	if entry == nil {
		return
	}
	if entry.total() >= quarantineThreshold && !entry.announced {
		entry.announced = true
		o.stats.Quarantined++
		out.Add(quarantineRecord(fingerprint, entry))
	}
	for _, s := range o.ordered {
		for _, a := range s.running {
			if a.fingerprint == fingerprint && o.checkSuspect(now, a) != core.OK {
				o.cancel(now, a, out)
			}
		}
		o.refuseQueuedSuspects(now, s, fingerprint, out)
	}
}

// refuseQueuedSuspects refuses the queued attempts of a fingerprint that may no
// longer run on their upstream.
func (o *Owner) refuseQueuedSuspects(now time.Time, s *share, fingerprint core.Fingerprint, out *core.Actions) {
	for _, a := range slices.Clone(s.queue) {
		if a.fingerprint != fingerprint {
			continue
		}
		if kind := o.checkSuspect(now, a); kind != core.OK {
			o.dequeue(a)
			o.answerNotRun(now, a, kind, o.suspects.retryAfter(now, fingerprint), out)
		}
	}
}
