package scatter_test

import (
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// regionRig returns a rig whose domains d1 and d2 are in different regions.
func regionRig(t *testing.T, hosts ...scatter.Host) *rig {
	r := newRig(t)
	r.options.Regions = map[core.DomainID]scatter.RegionID{"d1": "north", "d2": "south"}
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: append(hosts, scatter.Host{ID: "host-1", Domain: "d1", Cores: 1})})
	return r
}

// TestRequestsStayInTheirRegions checks that neither load nor failures cause sends
// to an upstream outside the regions of the route.
func TestRequestsStayInTheirRegions(t *testing.T) {
	r := regionRig(t)
	r.configure(1, 2)
	route := &scatter.Route{
		Name: "fetch", Host: "h.example", Prefix: fetchPath, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms,
		MaxUpstreams: 2, Targets: []scatter.Target{{Service: "files", Weight: 1}}, Regions: []scatter.RegionID{"south"},
	}
	services := map[core.ServiceID]scatter.Service{"files": {ID: "files", Connections: 96}}
	r.step(scatter.ConfigSeen{Config: scatter.NewConfig(2, []*scatter.Route{route}, services, scatter.CallerLimits{})})
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 20 * ms, scatter.Failed }
	for range 20 {
		r.ask(fetchPath)
	}
	r.run(time.Second)
	if r.sentTo("files-b") == 0 || r.sentTo("files-a") > 0 {
		t.Errorf("%d requests in the region, %d outside", r.sentTo("files-b"), r.sentTo("files-a"))
	}
	r.step(scatter.UpstreamRemoved{ID: "files-b"})
	r.want(r.ask(fetchPath), scatter.Refused)
}

// TestBodiesStayInTheCallersRegion checks that a request with a body is handed over
// only within the region, since a host that hands a request over cannot check the
// regions of its route.
func TestBodiesStayInTheCallersRegion(t *testing.T) {
	r := regionRig(t, scatter.Host{ID: "near", Domain: "d1", Cores: 8}, scatter.Host{ID: "far", Domain: "d2", Cores: 8})
	outcome := scatter.Succeeded
	r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 5 * ms, outcome }
	for range 20 {
		r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, HasBody: true})
	}
	r.run(time.Second)
	outcome = scatter.Unreached
	r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second, HasBody: true})
	r.run(time.Second)
	for _, h := range r.handovers {
		if h.To.ID != "near" {
			t.Errorf("handed over to %s", h.To.ID)
		}
	}
	if len(r.handovers) < 20 {
		t.Errorf("%d handovers", len(r.handovers))
	}
	outcome = scatter.Unreached
	before := len(r.handovers)
	r.arrive(scatter.RequestArrived{Path: fetchPath, Budget: time.Second})
	r.run(time.Second)
	if !slices.ContainsFunc(r.handovers[before:], func(h scatter.Handover) bool { return h.To.ID == "far" }) {
		t.Errorf("handovers without a body: %v, want one to the other region", r.handovers[before:])
	}
}
