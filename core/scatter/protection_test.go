package scatter_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// flip is what a host has been told, and tells again after something has left it out.
type flip struct {
	r         *rig
	version   uint64
	services  []scatter.Service
	upstreams []scatter.Upstream
}

// flips are the ways in which an entry is left out and comes back within a moment.
var flips = map[string]func(*flip){
	"a version leaves out the service": func(f *flip) {
		f.configure(nil)
		f.configure(f.services)
	},
	"an entry is removed and put back": func(f *flip) {
		f.r.step(scatter.UpstreamRemoved{ID: f.upstreams[0].ID})
		f.r.step(scatter.UpstreamSeen{Upstream: f.upstreams[0]})
	},
	"a list leaves out the upstream": func(f *flip) {
		f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams[1:]})
		f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams})
	},
	"the host stops following for a moment": func(f *flip) {
		f.r.step(scatter.FeedsLapsed{})
		f.follow()
	},
	"the core is replaced": func(f *flip) {
		f.r.engine = f.r.engine.Successor()
		f.r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
		f.follow()
	},
}

// newFlip returns a host that knows one service with the given upstreams.
func newFlip(t *testing.T, service scatter.Service, upstreams ...scatter.Upstream) *flip {
	f := &flip{r: newRig(t), services: []scatter.Service{service}, upstreams: upstreams}
	f.follow()
	return f
}

func (f *flip) follow() {
	f.configure(f.services)
	f.r.step(scatter.UpstreamsListed{Upstreams: f.upstreams})
	f.r.step(scatter.DomainsOut{})
	f.r.step(scatter.SuspectsSeen{})
}

// configure applies the next version. Without services, the route goes to another one.
func (f *flip) configure(services []scatter.Service) {
	f.version++
	known := map[core.ServiceID]scatter.Service{"other": {ID: "other", Connections: 8}}
	target := core.ServiceID("other")
	for _, s := range services {
		known[s.ID], target = s, s.ID
	}
	route := &scatter.Route{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms, MaxUpstreams: 2,
		Targets: []scatter.Target{{Service: target, Weight: 1}},
	}
	f.r.step(scatter.ConfigSeen{Config: scatter.NewConfig(f.version, []*scatter.Route{route}, known, scatter.CallerLimits{})})
}

// load sends a request every few milliseconds for a time. After every 20 of them the flip
// happens.
func (f *flip) load(d time.Duration, leaveOut func(*flip)) (requests int) {
	for end := f.r.now.Add(d); f.r.now.Before(end); f.r.run(5 * ms) {
		f.r.ask(fetchPath)
		if requests++; requests%20 == 0 {
			leaveOut(f)
		}
	}
	return requests
}

func eachFlip(t *testing.T, test func(t *testing.T, leaveOut func(*flip))) {
	for _, name := range slices.Sorted(maps.Keys(flips)) {
		t.Run(name, func(t *testing.T) { test(t, flips[name]) })
	}
}

// TestBudgetSurvivesFlips guards against a service that gets more extra sends than its budget
// allows, because each return of the service begins with a fresh one.
func TestBudgetSurvivesFlips(t *testing.T) {
	eachFlip(t, func(t *testing.T, leaveOut func(*flip)) {
		f := newFlip(t, scatter.Service{ID: "files", Connections: 96}, pair("files")...)
		f.r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 2 * ms, scatter.Failed }
		requests := f.load(8*time.Second, leaveOut)
		if extras, limit := len(f.r.sends)-requests, 0.2*float64(requests)+56; float64(extras) > limit {
			t.Errorf("%d extra sends for %d requests, %g allowed", extras, requests, limit)
		}
	})
}
