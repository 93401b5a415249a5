package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// aloneHost returns a rig of an entry host that no other host accepts a request of, and
// that follows the store because of it.
func aloneHost(t *testing.T) *rig {
	r := newRig(t)
	makeWeakHost(r)
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 0, scatter.Unreached }
	r.configure(1, 2)
	r.step(scatter.DomainsOut{})
	r.step(scatter.SuspectsSeen{})
	return r
}

// limits returns the limits for callers.
func (r *rig) limits() scatter.CallerLimits {
	_, limits := r.engine.Limits()
	return limits
}

// follow delivers what a host reads first of all feeds: the upstreams of a service, the
// failure domains that are out, and a version whose route fetch goes to that service.
func (r *rig) follow(version uint64, service core.ServiceID, out ...core.DomainID) []scatter.Event {
	route := &scatter.Route{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms,
		MaxUpstreams: 2, Targets: []scatter.Target{{Service: service, Weight: 1}},
	}
	services := map[core.ServiceID]scatter.Service{service: {ID: service, Connections: 96}}
	domains := map[core.DomainID]bool{}
	for _, id := range out {
		domains[id] = true
	}
	return []scatter.Event{
		scatter.ConfigSeen{Config: scatter.NewConfig(version, []*scatter.Route{route}, services, scatter.CallerLimits{MaxBodyBytes: 7})},
		scatter.UpstreamsListed{Upstreams: pair(service)},
		scatter.DomainsOut{Domains: domains},
		scatter.SuspectsSeen{},
	}
}

// TestLapsedFeedsAreNotUsed guards against a host that answers from what it has read of the
// feeds before it stopped following them: routes, upstreams, failure domains and limits. All
// feeds have to be read again, in whichever order they come.
func TestLapsedFeedsAreNotUsed(t *testing.T) {
	for first := range 4 {
		r := aloneHost(t)
		served := r.ask(fetchPath)
		r.run(50 * ms)
		r.want(served, scatter.PassedOn)
		r.run(40 * time.Second)
		if r.engine.Active(r.now) {
			t.Fatal("the host still follows")
		}
		r.step(scatter.FeedsLapsed{})
		before := len(r.sends)
		if r.engine.Version() != 0 || r.limits() != (scatter.CallerLimits{}) {
			t.Errorf("version %d with limits %v is in force", r.engine.Version(), r.limits())
		}
		events := r.follow(2, "orders", "d1")
		for i := range events {
			refused := r.ask(fetchPath)
			r.run(20 * ms)
			r.want(refused, scatter.Refused)
			if len(r.sends) > before {
				t.Fatalf("a request was sent to %s after %d feeds were read", r.sends[before].Target.ID, i)
			}
			r.step(events[(first+i)%len(events)])
		}
		for range 8 {
			fresh := r.ask(fetchPath)
			r.run(20 * ms)
			r.want(fresh, scatter.PassedOn)
		}
		for _, s := range r.sends[before:] {
			if s.Target.ID != "orders-b" {
				t.Errorf("a request was sent to %s", s.Target.ID)
			}
		}
		if r.limits().MaxBodyBytes != 7 {
			t.Errorf("limits %v", r.limits())
		}
	}
}

// TestUpstreamsGoneDuringALapseAreNotKept guards against upstreams that left while a host did
// not follow the registry, and are taken for ones whose entries expired in an outage.
func TestUpstreamsGoneDuringALapseAreNotKept(t *testing.T) {
	r := aloneHost(t)
	r.step(scatter.FeedsLapsed{})
	r.step(scatter.StoreReachable{})
	r.run(40 * time.Second)
	events := r.follow(2, "files")
	events[1] = scatter.UpstreamsListed{Upstreams: pair("files")[1:]}
	for _, event := range events {
		r.step(event)
	}
	r.step(scatter.StoreReachable{Reachable: true, MayHaveFailed: true})
	for range 20 {
		r.ask(fetchPath)
		r.run(10 * ms)
	}
	if n := r.sentTo("files-a"); n > 0 || r.sentTo("files-b") != 20 {
		t.Errorf("%d requests to the upstream that is gone, %d to the other", n, r.sentTo("files-b"))
	}
}

// TestNoOlderVersionAfterALapse guards against a version that reverts because the host has
// forgotten the newer one.
func TestNoOlderVersionAfterALapse(t *testing.T) {
	r := aloneHost(t)
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(5, nil, nil, scatter.CallerLimits{})})
	r.step(scatter.FeedsLapsed{})
	for _, event := range r.follow(4, "files") {
		r.step(event)
	}
	if r.engine.Ready() || r.engine.Version() != 0 {
		t.Errorf("version %d is in force", r.engine.Version())
	}
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(5, nil, nil, scatter.CallerLimits{})})
	if !r.engine.Ready() || r.engine.Version() != 5 {
		t.Errorf("version %d is in force", r.engine.Version())
	}
}

// TestKeysAndQuotasEndWithALapse guards against keys and teams of a time when the host
// followed the configuration.
func TestKeysAndQuotasEndWithALapse(t *testing.T) {
	r := aloneHost(t)
	withTeam := func(version uint64, key string) scatter.Event {
		seen := r.follow(version, "files")[0].(scatter.ConfigSeen)
		seen.Config.Teams, _ = scatter.NewTeams([]scatter.Team{{ID: "team", Keys: []scatter.KeyDigest{scatter.DigestKey(key)}, Quota: scatter.Quota{Rate: 5, Burst: 5}}})
		return seen
	}
	ask := func(key string) core.CallID {
		call := r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, Key: scatter.DigestKey(key), HasKey: true})
		r.run(20 * ms)
		return call
	}
	r.step(withTeam(2, "old"))
	r.step(scatter.FeedsLapsed{})
	r.want(ask("old"), scatter.Refused)
	r.step(scatter.QuotaAsked{ID: 1, From: "strong-1", Number: 1, Wants: []scatter.QuotaWant{{Team: "team", Tokens: 1}}})
	if replies := r.quotaReplies; len(replies) != 1 || !replies[0].Grants[0].Declined {
		t.Errorf("%v, want a host that does not decide on the team", replies)
	}
	r.step(withTeam(3, "new"))
	for _, event := range r.follow(3, "files")[1:] {
		r.step(event)
	}
	r.want(ask("old"), scatter.Unauthorized)
}

// TestActiveWhileCallsRun guards against a host that stops following the registry while it
// may still send a call once more.
func TestActiveWhileCallsRun(t *testing.T) {
	r := newRig(t)
	r.configure(1, 2)
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return time.Hour, scatter.Succeeded }
	call := r.ask(orderPath)
	makeWeakHost(r)
	if !r.engine.Active(r.now) {
		t.Error("not active while a call runs")
	}
	r.run(time.Second)
	r.want(call, scatter.TimedOut)
	if r.engine.Active(r.now) {
		t.Error("active after the call has ended")
	}
}
