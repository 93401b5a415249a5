package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// declaration returns the edits that create n services with two upstreams each, in
// different failure domains.
func declaration(n int) []resource.Edit {
	var edits []resource.Edit
	add := func(kind resource.Kind, name string, spec resource.Spec) {
		edits = append(edits, resource.Edit{Object: resource.Object{Kind: kind, Name: name, Spec: spec}})
	}
	for d := range 4 {
		add(resource.FailureDomain, fmt.Sprintf("domain-%d", d), &resource.FailureDomainSpec{State: resource.StateIn})
	}
	scope := &resource.ScopeSpec{Space: core.KeyRange{From: 0, To: uint64(n) * 100}, Reach: 1, BelowReach: resource.BelowReachPartial}
	for i := range n {
		service := fmt.Sprintf("photo-%02d", i)
		scope.Services = append(scope.Services, service)
		ranges := []core.KeyRange{{From: uint64(i) * 100, To: uint64(i+1) * 100}}
		add(resource.Service, service, &resource.ServiceSpec{Versions: []resource.IndexVersion{{Version: 7, Ranges: ranges}}})
		for s := range 2 {
			add(resource.Upstream, fmt.Sprintf("%s-%c", service, 'a'+s), &resource.UpstreamSpec{
				Service: service, FailureDomain: fmt.Sprintf("domain-%d", (i+s)%4), State: resource.StateIn,
				Address: fmt.Sprintf("127.0.2.%d:%d", i+1, 8000+s), Slots: 2, Connections: 25,
				ColdStart: resource.ColdStart{RatePerSecond: 20, WarmTime: resource.Duration(2 * time.Second)},
			})
		}
	}
	add(resource.Scope, "register", scope)
	add(resource.Service, "fees", &resource.ServiceSpec{})
	for s := range 2 {
		add(resource.Upstream, fmt.Sprintf("fees-%c", 'a'+s), &resource.UpstreamSpec{
			Service: "fees", FailureDomain: fmt.Sprintf("domain-%d", s), State: resource.StateIn,
			Address: fmt.Sprintf("127.0.3.1:%d", 8000+s), Slots: 2, Connections: 25,
			ColdStart: resource.ColdStart{RatePerSecond: 50, WarmTime: resource.Duration(time.Second)},
		})
	}
	return edits
}

func (f *fleet) apply(t *testing.T, edits []resource.Edit) {
	t.Helper()
	doc := &resource.Document{}
	if held, found := f.objects[core.ConfigKey]; found {
		var err error
		if doc, err = resource.DecodeDocument(held.value); err != nil {
			t.Fatal(err)
		}
	}
	next, err := resource.Apply(doc, resource.Request{Operation: fmt.Sprint(f.sequence), Operator: "test", Time: f.now, Edits: edits})
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	version := f.put(core.ConfigKey, encoded)
	f.step(f.names[0], core.PlatformChanged{Key: core.ConfigKey, Version: version, Value: encoded})
}

func (f *fleet) query(host core.HostID, call core.CallID, question string) {
	f.step(host, core.CallerRequest{Call: call, Query: &peerpb.Query{
		Call: uint64(call), RequestId: fmt.Sprintf("q-%d", call), Scope: "register",
		Question: []byte(question), RemainingUs: time.Second.Microseconds(),
	}})
}

func newConfiguredFleet(t *testing.T, services int) *fleet {
	t.Helper()
	f, err := newFleet(8, 4, DefaultPolicies())
	if err != nil {
		t.Fatal(err)
	}
	f.run(3 * time.Second)
	f.apply(t, declaration(services))
	f.run(4 * time.Second)
	return f
}

func TestQueryThroughEveryHost(t *testing.T) {
	f := newConfiguredFleet(t, 20)
	for _, name := range f.names {
		if f.hosts[name].host.topology == nil {
			t.Fatalf("%s has no configuration 4 s after it was accepted", name)
		}
	}
	for i, name := range f.names {
		f.query(name, core.CallID(i+1), fmt.Sprintf("question %d", i))
	}
	f.run(2 * time.Second)
	for i := range f.names {
		call := core.CallID(i + 1)
		reply := f.answers[call]
		if f.answered[call] != 1 || reply.GetKind() != int32(core.OK) || !reply.GetReachMet() || reply.GetIndexVersion() != 7 {
			t.Errorf("call %d: %d answers, last %v", call, f.answered[call], reply)
		}
	}
	f.checkSlots(t)
	f.checkColdOverloads(t)
}
