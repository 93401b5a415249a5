package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// crowdLoad is the load of the tests below on two upstreams, which serve 800 requests per
// second together. Each team sends one request per interval.
type crowdLoad map[string]time.Duration // interval by key

// servedInTarget replays a load for four seconds and returns the share of the requests of
// each key that were answered within the route's target.
func (r *rig) servedInTarget(load crowdLoad) map[string]float64 {
	r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return 20 * ms, scatter.Succeeded }
	asked := map[string][]core.CallID{}
	end := r.now.Add(4 * time.Second)
	for key, interval := range load {
		var next func()
		next = func() {
			asked[key] = append(asked[key], r.askAs(key, "/team/"))
			if at := r.now.Add(interval); at.Before(end) {
				r.later.Add(at, next)
			}
		}
		r.later.Add(r.now.Add(interval/3), next)
	}
	start := r.now
	r.run(5 * time.Second)
	shares := map[string]float64{}
	for key, calls := range asked {
		measured, served := 0, 0
		for i, call := range calls {
			if time.Duration(i)*load[key] < time.Second {
				continue // the congestion windows open in the first second
			}
			measured++
			at, answered := r.answered[call]
			asked := start.Add(load[key]/3 + time.Duration(i)*load[key])
			if answered && r.answers[call].Kind == scatter.PassedOn && at.Sub(asked) <= 200*ms {
				served++
			}
		}
		shares[key] = float64(served) / float64(measured)
	}
	return shares
}

// TestCrowdOfOneTeamLeavesRoomForOthers guards against a team that sends 7.5 times its usual
// load, or three that do, taking the room of the teams that send as ever. The others' share
// of requests in target may fall by less than 0.03.
func TestCrowdOfOneTeamLeavesRoomForOthers(t *testing.T) {
	usual := crowdLoad{"a": 8 * ms, "b": 8 * ms, "c": 8 * ms, "d": 20 * ms, "e": 40 * ms, "f": 200 * ms}
	for name, crowds := range map[string][]string{"none": nil, "one": {"a"}, "three": {"a", "b", "c"}} {
		r := newRig(t)
		r.configureTeams(1, team("a", "a"), team("b", "b"), team("c", "c"), team("d", "d"), team("e", "e"), team("f", "f"))
		load := crowdLoad{}
		for key, interval := range usual {
			load[key] = interval
		}
		for _, key := range crowds {
			load[key] = time.Duration(float64(load[key]) / 7.5)
		}
		shares := r.servedInTarget(load)
		asked, served := 0.0, 0.0
		for key, share := range shares {
			asked += 1 / load[key].Seconds()
			served += share / load[key].Seconds()
		}
		for key, share := range shares {
			if load[key] == usual[key] && share < 0.97 {
				t.Errorf("crowds of %s teams: %.3f of the requests of team %s in target", name, share, key)
			}
			if share < served/asked/4 {
				t.Errorf("crowds of %s teams: %.3f of the requests of team %s in target, %.3f of all", name, share, key, served/asked)
			}
		}
	}
}

// TestTeamsShareWhatIsLeft guards against crowds that are served unequally: of three equal
// crowds, each gets at least 0.8 of their mean.
func TestTeamsShareWhatIsLeft(t *testing.T) {
	r := newRig(t)
	r.configureTeams(1, team("a", "a"), team("b", "b"), team("c", "c"))
	shares := r.servedInTarget(crowdLoad{"a": ms, "b": ms, "c": 2 * ms})
	rates := map[string]float64{"a": shares["a"] * 1000, "b": shares["b"] * 1000, "c": shares["c"] * 500}
	mean := (rates["a"] + rates["b"] + rates["c"]) / 3
	for key, rate := range rates {
		if rate < 0.8*mean {
			t.Errorf("team %s gets %.0f requests per second, the mean is %.0f", key, rate, mean)
		}
	}
}
