package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

const (
	goldKey   = "gold-key"
	silverKey = "silver-key"
)

// configureTeams applies a configuration with a public route /open/ and a route /team/ that
// requires a key, both to the service files.
func (r *rig) configureTeams(version uint64, teams ...scatter.Team) {
	r.t.Helper()
	route := func(prefix string, public bool) *scatter.Route {
		return &scatter.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Repeatable: true, Timeout: 800 * ms, Target: 200 * ms,
			Priority: 2, MaxUpstreams: 2, Public: public, Targets: []scatter.Target{{Service: "files", Weight: 1}},
		}
	}
	c := scatter.NewConfig(version, []*scatter.Route{route("/open/", true), route("/team/", false)},
		map[core.ServiceID]scatter.Service{"files": {ID: "files", Connections: 96}}, scatter.CallerLimits{})
	c.Teams, _ = scatter.NewTeams(teams)
	r.step(scatter.UpstreamsListed{Upstreams: pair("files")})
	r.step(scatter.ConfigSeen{Config: c})
}

func team(id scatter.TeamID, keys ...string) scatter.Team {
	t := scatter.Team{ID: id}
	for _, key := range keys {
		t.Keys = append(t.Keys, scatter.DigestKey(key))
	}
	return t
}

// askAs sends a request with a key; an empty key sends none.
func (r *rig) askAs(key, path string) core.CallID {
	return r.arrive(scatter.RequestArrived{Path: path, Budget: time.Second, Key: scatter.DigestKey(key), HasKey: key != ""})
}

// TestKeyDecidesTeam guards against requests that run without a valid key or on behalf of
// another team, on open and other routes.
func TestKeyDecidesTeam(t *testing.T) {
	for _, tt := range []struct {
		key, path string
		kind      scatter.AnswerKind
		team      scatter.TeamID
	}{
		{"", "/team/", scatter.Unauthorized, ""},
		{"unknown", "/team/", scatter.Unauthorized, ""},
		{"shared-key", "/team/", scatter.Unauthorized, ""},
		{goldKey, "/team/", scatter.PassedOn, "gold"},
		{silverKey, "/team/", scatter.PassedOn, "silver"},
		{"", "/open/", scatter.PassedOn, ""},
		{"unknown", "/open/", scatter.PassedOn, ""},
		{goldKey, "/open/", scatter.PassedOn, "gold"},
	} {
		r := newRig(t)
		r.configureTeams(1, team("gold", goldKey, "shared-key"), team("silver", silverKey, "shared-key"))
		call := r.askAs(tt.key, tt.path)
		r.run(time.Second)
		r.want(call, tt.kind)
		if tt.kind == scatter.Unauthorized {
			if len(r.sends) != 0 {
				t.Errorf("key %q on %s: sent %d times", tt.key, tt.path, len(r.sends))
			}
			continue
		}
		if want := (scatter.Identity{Checked: true, Team: tt.team}); len(r.sends) != 1 || r.sends[0].Identity != want {
			t.Errorf("key %q on %s: sends %+v, want one for %+v", tt.key, tt.path, r.sends, want)
		}
	}
}

// TestEachSendCarriesTheTeam guards against retries, hedges and queued sends that are made
// without the team, or with that of a version that came into force later.
func TestEachSendCarriesTheTeam(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, team("gold", goldKey))
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) {
		if len(r.sends) == 1 {
			return 5 * ms, scatter.NotExecuted
		}
		return 150 * ms, scatter.Lost
	}
	r.askAs(goldKey, "/team/")
	r.configureTeams(2, team("renamed", goldKey))
	r.run(time.Second)
	if len(r.sends) < 2 {
		t.Fatalf("%d sends, want a retry", len(r.sends))
	}
	for _, s := range r.sends {
		if s.Identity.Team != "gold" || s.Version != 1 {
			t.Errorf("sent as %+v of version %d", s.Identity, s.Version)
		}
	}
}

// TestRelayedPartsCarryTheTeam guards against parts that relays send without the team.
func TestRelayedPartsCarryTheTeam(t *testing.T) {
	r := newRelayRig(t)
	r.teamOnGather(2, team("gold", goldKey))
	r.askAs(goldKey, gatherPath)
	if sendsByRelay(r.sends)[""] == len(r.sends) {
		t.Fatal("nothing was relayed")
	}
	for _, s := range r.sends {
		if s.Identity != (scatter.Identity{Checked: true, Team: "gold"}) {
			t.Errorf("to %s through %q as %+v", s.Target.ID, s.Via.ID, s.Identity)
		}
	}
}

// teamOnGather adds teams to the gather route of configure, over eight shards.
func (r *rig) teamOnGather(version uint64, teams ...scatter.Team) {
	services := map[core.ServiceID]scatter.Service{}
	route := &scatter.Route{
		Name: "gather", Host: "h.example", Prefix: gatherPath, Repeatable: true, Timeout: 800 * ms, Target: 100 * ms,
		Priority: 1, MaxUpstreams: 2, TopRecords: 10, MinCoverage: 0.75,
	}
	for _, id := range []core.ServiceID{"shard00", "shard01", "shard02", "shard03", "shard04", "shard05", "shard06", "shard07"} {
		services[id] = scatter.Service{ID: id, Connections: 96}
		route.Shards = append(route.Shards, id)
	}
	c := scatter.NewConfig(version, []*scatter.Route{route}, services, scatter.CallerLimits{})
	c.Teams, _ = scatter.NewTeams(teams)
	r.step(scatter.ConfigSeen{Config: c})
}

// TestWithdrawnKeyStaysWithdrawn guards against a key that is accepted again when an
// older version arrives late.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, team("gold", goldKey))
	r.configureTeams(2, team("gold"))
	r.want(r.askAs(goldKey, "/team/"), scatter.Unauthorized)
	r.configureTeams(1, team("gold", goldKey))
	r.want(r.askAs(goldKey, "/team/"), scatter.Unauthorized)
}

// TestUnknownKeyIsRefusedWhileStale guards against a 401 for a key that a newer version
// holds which this host cannot read. The caller may retry after a refusal.
func TestUnknownKeyIsRefusedWhileStale(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, team("gold", goldKey))
	r.step(scatter.StoreReachable{Reachable: false})
	r.run(2 * time.Second)
	r.want(r.askAs("new-key", "/team/"), scatter.Refused)
	r.want(r.askAs("", "/team/"), scatter.Unauthorized)
	known := r.askAs(goldKey, "/team/")
	r.run(time.Second)
	r.want(known, scatter.PassedOn)
	r.step(scatter.StoreReachable{Reachable: true})
	r.want(r.askAs("new-key", "/team/"), scatter.Unauthorized)
}

// TestStrictRevocation guards against keys that are accepted although the configuration
// could not be confirmed within the bound of a strict deployment.
func TestStrictRevocation(t *testing.T) {
	for _, strict := range []bool{false, true} {
		r := newRig(t)
		r.options.Revocation = scatter.Revocation{Strict: strict, Within: 5 * time.Second}
		r.engine = scatter.New(r.options)
		r.configureTeams(1, team("gold", goldKey))
		r.step(scatter.StoreReachable{Reachable: false})
		r.run(4 * time.Second)
		early := r.askAs(goldKey, "/team/")
		r.run(2 * time.Second)
		r.want(early, scatter.PassedOn)
		late, open := r.askAs(goldKey, "/team/"), r.askAs("", "/open/")
		r.run(time.Second)
		want := scatter.PassedOn
		if strict {
			want = scatter.Refused
		}
		r.want(late, want)
		r.want(open, scatter.PassedOn)
	}
}

// TestTeamPriorityGoesFirst guards against the route's priority deciding the order of
// queued requests although their teams have priorities of their own.
func TestTeamPriorityGoesFirst(t *testing.T) {
	high, low := 0, 5
	gold, silver := team("gold", goldKey), team("silver", silverKey)
	gold.Priority, silver.Priority = &high, &low
	r := newRig(t)
	r.configureTeams(1, gold, silver)
	release := 40 * ms
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return release, scatter.Succeeded }
	for range 2 { // one request in flight at each upstream of an initial window of one
		r.askAs(silverKey, "/team/")
	}
	waiting := r.askAs(silverKey, "/team/")
	urgent := r.askAs(goldKey, "/team/")
	r.run(time.Second)
	r.want(urgent, scatter.PassedOn)
	if a := r.answers[waiting]; a.Kind == scatter.PassedOn && r.answered[waiting].Before(r.answered[urgent]) {
		t.Error("the request of the team with the lower rank was served first")
	}
	if got := r.sends[2].Call; got != urgent {
		t.Errorf("call %d was sent first, want %d", got, urgent)
	}
}

// TestTeamRegions guards against upstreams in a region that the route allows and the team
// does not.
func TestTeamRegions(t *testing.T) {
	gold := team("gold", goldKey)
	gold.Regions = []scatter.RegionID{"west"}
	r := newRig(t)
	r.options.Regions = map[core.DomainID]scatter.RegionID{"d1": "east", "d2": "west"}
	r.engine = scatter.New(r.options)
	r.configureTeams(1, gold)
	for range 6 {
		r.askAs(goldKey, "/team/")
		r.run(50 * ms)
	}
	if r.sentTo("files-a") != 0 || r.sentTo("files-b") == 0 {
		t.Errorf("%d sends to the region that the team excludes, %d to the other", r.sentTo("files-a"), r.sentTo("files-b"))
	}
}
