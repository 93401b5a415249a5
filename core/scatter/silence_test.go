package scatter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestFollowedHostReportsSilentHosts: a host with followers reports a silent host
// to them within two seconds, and later its return. A host without followers does
// not ping.
func TestFollowedHostReportsSilentHosts(t *testing.T) {
	r := newRig(t)
	hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}
	for i := range 40 {
		hosts = append(hosts, scatter.Host{ID: core.HostID(fmt.Sprint("h", i)), Domain: "d1", Cores: 1})
	}
	dead, pings := core.HostID(""), 0
	r.probed = func(id core.HostID) {
		pings++
		if id != dead {
			r.later.Add(r.now.Add(5*ms), func() { r.step(scatter.HostAlive{ID: id}) })
		}
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	r.run(2 * time.Second)
	if pings > 0 {
		t.Errorf("%d pings without followers", pings)
	}
	r.step(scatter.Followed{ByOthers: true})
	dead = r.engine.Registered()[5].ID
	r.run(2 * time.Second)
	if len(r.silentReports) != 1 || !slices.Equal(r.silentReports[0], []core.HostID{dead}) {
		t.Fatalf("reported %v, want %s", r.silentReports, dead)
	}
	before := pings
	r.run(10 * time.Second)
	if pings-before > 16*4*10 {
		t.Errorf("%d pings in 10 s", pings-before)
	}
	dead = ""
	r.run(time.Second)
	if len(r.silentReports) != 2 || len(r.silentReports[1]) > 0 {
		t.Errorf("after its return: reported %v", r.silentReports)
	}
}

// TestImmediatePingAnswersCount: an answer at the very time of its ping counts, so
// that the host is not reported as silent.
func TestImmediatePingAnswersCount(t *testing.T) {
	r := newRig(t)
	r.probed = func(id core.HostID) { r.later.Add(r.now, func() { r.step(scatter.HostAlive{ID: id}) }) }
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}, {ID: "host-2", Domain: "d1", Cores: 1}}})
	r.step(scatter.Followed{ByOthers: true})
	r.run(10 * time.Second)
	if len(r.silentReports) > 0 {
		t.Errorf("reported %v", r.silentReports)
	}
}

// TestSilentHostsAreChosenLast: a report of a silent host is valid until its
// sender withdraws it or stops repeating it, or the silent host sends something.
func TestSilentHostsAreChosenLast(t *testing.T) {
	silent := scatter.HostsSilent{By: "reader", Hosts: []core.HostID{"strong-1"}}
	for name, tt := range map[string]struct {
		follows scatter.Event
		after   time.Duration
		want    core.HostID
	}{
		"reported":                 {nil, 0, "strong-2"},
		"reported again":           {silent, time.Second, "strong-2"},
		"report withdrawn":         {scatter.HostsSilent{By: "reader"}, 0, "strong-1"},
		"message since the report": {scatter.HostAlive{ID: "strong-1"}, 0, "strong-1"},
		"report expired":           {nil, 2 * time.Second, "strong-1"},
		"both are silent":          {scatter.HostsSilent{By: "other", Hosts: []core.HostID{"strong-1", "strong-2"}}, 0, "weak"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			makeWeakHost(r)
			r.peer = func(scatter.Handover) (time.Duration, scatter.Outcome) { return 5 * ms, scatter.Succeeded }
			r.run(time.Second)
			r.step(silent)
			r.run(ms)
			if tt.follows != nil {
				r.step(tt.follows)
			}
			r.run(tt.after)
			call := r.ask(gatherPath)
			r.run(10 * ms)
			if got := r.want(call, scatter.PassedOn).Payload.(string); got[:len(tt.want)] != string(tt.want) {
				t.Errorf("answered by %s, want %s", got, tt.want)
			}
		})
	}
}

// TestHostThatLostARequestIsPingedBeforeUse: whether a host has recovered is
// found out by pings and not by callers' requests.
func TestHostThatLostARequestIsPingedBeforeUse(t *testing.T) {
	r := newRig(t)
	makeWeakHost(r)
	dead := map[core.HostID]bool{"strong-1": true}
	r.peer = func(h scatter.Handover) (time.Duration, scatter.Outcome) {
		if dead[h.To.ID] {
			return 300 * ms, scatter.Lost
		}
		return 5 * ms, scatter.Succeeded
	}
	pings := 0
	r.probed = func(id core.HostID) {
		if id == "strong-1" {
			pings++
		}
		if !dead[id] {
			r.later.Add(r.now.Add(ms), func() { r.step(scatter.HostAlive{ID: id}) })
		}
	}
	for range 200 {
		r.ask(gatherPath)
		r.run(50 * ms)
	}
	handedOver := func() (count int) {
		for _, h := range r.handovers {
			if h.To.ID == "strong-1" {
				count++
			}
		}
		return count
	}
	if got := handedOver(); got > 8 {
		t.Errorf("%d requests were handed over to it in 10 s", got)
	}
	if pings == 0 || pings > 20 {
		t.Errorf("%d pings in 10 s", pings)
	}
	clear(dead)
	before := handedOver()
	r.run(2500 * ms)
	r.ask(gatherPath)
	r.run(10 * ms)
	if handedOver() == before {
		t.Error("no request is handed over to it although it answers pings")
	}
}
