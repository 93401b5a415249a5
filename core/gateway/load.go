package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/estimate"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// loads estimates the wait and the service time of a sub-query at each upstream.
type loads struct {
	roundTrip time.Duration
	upstreams map[core.UpstreamID]*upstreamLoad
	services  map[core.ServiceID]*serviceTime
}

// upstreamLoad is the last load report of an upstream's owner, plus the attempts
// that this host has sent since.
type upstreamLoad struct {
	queued, running, limit int
	wait                   time.Duration
	cold                   bool
	reportedAt             time.Time
	// sent holds the send times of the attempts in flight that the report may
	// not include yet, oldest first.
	sent []time.Time
}

// serviceTime estimates the service time of a service's sub-queries. Admission
// uses the median, because a few stragglers, such as those caused by a pause of
// all upstreams, move only the mean.
type serviceTime struct {
	estimate.Service
	observedAt time.Time
}

// typicalTimeHalfLife is the interval without observations after which the
// typical service time is halved. Without this decay, a host whose only
// observations were stragglers would refuse every query and so never observe
// the true service time.
const typicalTimeHalfLife = 500 * time.Millisecond

func newLoads(roundTrip time.Duration) loads {
	return loads{
		roundTrip: roundTrip,
		upstreams: map[core.UpstreamID]*upstreamLoad{},
		services:  map[core.ServiceID]*serviceTime{},
	}
}

func (l *loads) get(id core.UpstreamID) *upstreamLoad {
	load := l.upstreams[id]
	if load == nil {
		load = &upstreamLoad{}
		l.upstreams[id] = load
	}
	return load
}

// applyReport stores an owner's load report. Attempts sent less than a round
// trip ago may not be included in it, so they still count in addition.
func (l *loads) applyReport(now time.Time, r *peerpb.Load) {
	load := l.get(core.UpstreamID(r.GetUpstream()))
	load.queued = int(r.GetQueued())
	load.running = int(r.GetRunning())
	load.limit = int(r.GetLimit())
	load.wait = microseconds(r.GetWaitUs())
	load.cold = r.GetCold()
	load.reportedAt = now
	load.dropSentBefore(now.Add(-l.roundTrip))
}

func (u *upstreamLoad) dropSentBefore(at time.Time) {
	kept := 0
	for kept < len(u.sent) && u.sent[kept].Before(at) {
		kept++
	}
	u.sent = append(u.sent[:0], u.sent[kept:]...)
}

func (l *loads) attemptSent(now time.Time, id core.UpstreamID) {
	load := l.get(id)
	load.sent = append(load.sent, now)
}

// attemptEnded removes an attempt that ended before a report included it.
func (l *loads) attemptEnded(id core.UpstreamID, sent time.Time) {
	load := l.get(id)
	at := slices.IndexFunc(load.sent, sent.Equal)
	if at >= 0 {
		load.sent = slices.Delete(load.sent, at, at+1)
	}
}

// prune removes the upstreams and services that are not in the topology.
func (l *loads) prune(t *core.Topology) {
	for id := range l.upstreams {
		if t.Upstreams[id] == nil {
			delete(l.upstreams, id)
		}
	}
	for id := range l.services {
		if t.Services[id] == nil {
			delete(l.services, id)
		}
	}
}

// observeServiceTime records the service time of a successful sub-query.
func (l *loads) observeServiceTime(now time.Time, id core.ServiceID, took time.Duration) {
	service := l.services[id]
	if service == nil {
		service = &serviceTime{}
		l.services[id] = service
	}
	service.observedAt = now
	service.Observe(took)
}

// typicalServiceTime returns the median service time, halved for each
// typicalTimeHalfLife since the last observation; 0 if there was none.
func (l *loads) typicalServiceTime(now time.Time, id core.ServiceID) time.Duration {
	service := l.services[id]
	if service == nil {
		return 0
	}
	halvings := min(now.Sub(service.observedAt)/typicalTimeHalfLife, 62)
	return service.Median >> max(0, halvings)
}

func (l *loads) replica(now time.Time, service core.ServiceID, id core.UpstreamID, owner core.HostID) core.Replica {
	replica := core.Replica{Upstream: id, Owner: owner}
	load := l.upstreams[id]
	if load == nil {
		return replica
	}
	replica.Queued = load.queued + len(load.sent)
	replica.Running = load.running
	replica.Limit = load.limit
	replica.Cold = load.cold
	replica.Wait = l.wait(now, service, load)
	return replica
}

// wait returns the reported wait minus the age of the report, plus the time to
// serve the sub-queries sent since, except those that find a free slot.
func (l *loads) wait(now time.Time, service core.ServiceID, load *upstreamLoad) time.Duration {
	wait := max(0, load.wait-now.Sub(load.reportedAt))
	times := l.services[service]
	if times == nil || load.limit == 0 {
		return wait
	}
	waiting := len(load.sent)
	free := load.limit - load.running - load.queued
	if free > 0 {
		waiting = max(0, waiting-free+1)
	}
	return wait + times.Mean*time.Duration(waiting)/time.Duration(load.limit)
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
