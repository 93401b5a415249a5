package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestExplanationMatchesWhatHappens guards against an explanation that names another outcome
// than the request gets, or that changes or sends anything.
func TestExplanationMatchesWhatHappens(t *testing.T) {
	for _, tt := range []struct {
		path, decision string
		prepare        func(*rig)
		kind           scatter.AnswerKind
	}{
		{"/none/", "no route", func(*rig) {}, scatter.NoRoute},
		{fetchPath, "answer", func(*rig) {}, scatter.PassedOn},
		{gatherPath, "answer", func(*rig) {}, scatter.Gathered},
		{fetchPath, "refused", func(r *rig) { r.drain("files-a", "files-b") }, scatter.Refused},
	} {
		r := newRig(t)
		r.configure(1, 8)
		tt.prepare(r)
		before, notes := r.engine.Stats(), len(r.notes)
		x := r.engine.Explain(r.now, scatter.RequestArrived{Host: "h.example", Path: tt.path, At: r.now})
		if x.Decision != tt.decision || r.engine.Stats() != before || len(r.notes) != notes || len(r.sends) > 0 {
			t.Errorf("%s: %q (%s), want %q; %d sends", tt.path, x.Decision, x.Reason, tt.decision, len(r.sends))
		}
		call := r.ask(tt.path)
		r.run(time.Second)
		r.want(call, tt.kind)
		if tt.kind == scatter.PassedOn && x.Services[0].Upstreams[0].ID != r.sends[0].Target.ID {
			t.Errorf("explained as sent to %s, sent to %s", x.Services[0].Upstreams[0].ID, r.sends[0].Target.ID)
		}
	}
}

// TestExplanationOfKeys checks the decision by key and route, and that the team is named.
func TestExplanationOfKeys(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, team("gold", goldKey))
	for key, want := range map[string]string{"": "unauthorized", "unknown": "unauthorized", goldKey: "answer"} {
		x := r.engine.Explain(r.now, scatter.RequestArrived{Host: "h.example", Path: "/team/", At: r.now, Key: scatter.DigestKey(key), HasKey: key != ""})
		if x.Decision != want || x.Team != "" != (want == "answer") {
			t.Errorf("key %q: %s for team %q, want %s", key, x.Decision, x.Team, want)
		}
	}
}

// TestExplanationAtAnEntryHost checks that a host which hands over lists the hosts, the one
// that it would choose first.
func TestExplanationAtAnEntryHost(t *testing.T) {
	r := newRig(t)
	hosts := []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 0.1}}
	for _, id := range []core.HostID{"g1", "g2", "g3"} {
		hosts = append(hosts, scatter.Host{ID: id, Domain: map[core.HostID]core.DomainID{"g1": "d1", "g2": "d2", "g3": "d2"}[id], Cores: 1})
	}
	r.step(scatter.HostsSeen{Hosts: hosts})
	x := r.engine.Explain(r.now, scatter.RequestArrived{Host: "h.example", Path: fetchPath, At: r.now})
	if x.Decision != "hand over" || len(x.Hosts) != 3 || x.Hosts[0].ID != "g1" {
		t.Errorf("explained as %+v", x)
	}
}
