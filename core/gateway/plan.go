package gateway

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// plan lists the shards and key ranges that a query needs at one index version.
// Plans are immutable and shared between queries.
type plan struct {
	// scope is nil for a plain call.
	scope   *core.Scope
	version uint64
	space   span
	shards  []shard
	wanted  []*peerpb.KeyRange
}

// shard is the part of a plan that one service serves.
type shard struct {
	service core.ServiceID
	// held are the ranges that the service holds at the version, wanted the
	// parts of them inside the scope's space; both normalized.
	held, wanted []span
	wireWanted   []*peerpb.KeyRange
}

// equal reports whether two plans query the same services for the same ranges
// at the same version, under equal rules for partial answers.
func (p *plan) equal(other *plan) bool {
	if p == other {
		return true
	}
	if p.version != other.version || !sameScope(p.scope, other.scope) {
		return false
	}
	return slices.EqualFunc(p.shards, other.shards, func(a, b shard) bool {
		return a.service == b.service && slices.Equal(a.held, b.held)
	})
}

func sameScope(a, b *core.Scope) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ID == b.ID && a.Space == b.Space && a.Reach == b.Reach && a.RefuseBelow == b.RefuseBelow
}

// planner builds and caches the plans of the current topology and records which
// index versions shards have reported gone.
type planner struct {
	topology  *core.Topology
	scopes    map[core.ScopeID][]*plan
	plain     map[core.ServiceID]*plan
	goneUntil map[goneKey]time.Time
	goneTTL   time.Duration
}

type goneKey struct {
	service core.ServiceID
	version uint64
}

func (p *planner) setTopology(t *core.Topology) {
	p.topology = t
	p.scopes = map[core.ScopeID][]*plan{}
	p.plain = map[core.ServiceID]*plan{}
}

// forService returns the plan of a plain call, or nil if the service is unknown.
func (p *planner) forService(id core.ServiceID) *plan {
	cached, ok := p.plain[id]
	if ok {
		return cached
	}
	if p.topology.Services[id] == nil {
		return nil
	}
	cached = &plan{shards: []shard{{service: id}}}
	p.plain[id] = cached
	return cached
}

// forScope returns the plan at the newest index version that no shard has
// reported gone. If all are gone it returns the plan at the newest version,
// since a partial answer that states its coverage is better than none. It
// returns nil if at no version the ranges tile the scope's space.
func (p *planner) forScope(now time.Time, scope *core.Scope) *plan {
	plans := p.plansOf(scope)
	for _, candidate := range plans {
		if !p.isGone(now, candidate) {
			return candidate
		}
	}
	if len(plans) == 0 {
		return nil
	}
	return plans[0]
}

// alternativeTo returns the plan at the newest version that is not gone and
// differs from the given plan's, or nil.
func (p *planner) alternativeTo(now time.Time, than *plan) *plan {
	scope := p.topology.Scopes[than.scope.ID]
	if scope == nil {
		return nil
	}
	for _, candidate := range p.plansOf(scope) {
		if candidate.version != than.version && !p.isGone(now, candidate) {
			return candidate
		}
	}
	return nil
}

func (p *planner) markGone(now time.Time, service core.ServiceID, version uint64) {
	for key, until := range p.goneUntil {
		if !now.Before(until) {
			delete(p.goneUntil, key)
		}
	}
	p.goneUntil[goneKey{service, version}] = now.Add(p.goneTTL)
}

func (p *planner) isGone(now time.Time, candidate *plan) bool {
	if len(p.goneUntil) == 0 {
		return false
	}
	for i := range candidate.shards {
		until, marked := p.goneUntil[goneKey{candidate.shards[i].service, candidate.version}]
		if marked && now.Before(until) {
			return true
		}
	}
	return false
}

// plansOf returns the scope's plans, newest version first.
func (p *planner) plansOf(scope *core.Scope) []*plan {
	plans, cached := p.scopes[scope.ID]
	if cached {
		return plans
	}
	for _, version := range p.commonVersions(scope) {
		candidate := p.build(scope, version)
		if candidate != nil {
			plans = append(plans, candidate)
		}
	}
	p.scopes[scope.ID] = plans
	return plans
}

// commonVersions returns the versions that all services of the scope declare,
// newest first.
func (p *planner) commonVersions(scope *core.Scope) []uint64 {
	counts := map[uint64]int{}
	for _, id := range scope.Services {
		service := p.topology.Services[id]
		if service == nil {
			return nil
		}
		for version := range service.Ranges {
			counts[version]++
		}
	}
	var common []uint64
	for version, count := range counts {
		if count == len(scope.Services) {
			common = append(common, version)
		}
	}
	slices.Sort(common)
	slices.Reverse(common)
	return common
}

// build returns the plan at a version, or nil if the services' ranges do not
// tile the scope's space. A gap could not be attributed to any shard, and an
// overlap could count a key twice.
func (p *planner) build(scope *core.Scope, version uint64) *plan {
	space, ok := spanOf(scope.Space.From, scope.Space.To)
	if !ok {
		return nil
	}
	built := &plan{scope: scope, version: version, space: space}
	var all []span
	for _, id := range scope.Services {
		held, ok := heldSpans(p.topology.Services[id].Ranges[version])
		if !ok {
			return nil
		}
		wanted := clip(held, space)
		if len(wanted) == 0 {
			continue
		}
		all = append(all, wanted...)
		built.shards = append(built.shards, shard{service: id, held: held, wanted: wanted, wireWanted: wireRanges(wanted)})
	}
	tiles, ok := normalize(all)
	if !ok || len(tiles) != 1 || tiles[0] != space {
		return nil
	}
	built.wanted = wireRanges(tiles)
	return built
}

func heldSpans(ranges []core.KeyRange) ([]span, bool) {
	spans := make([]span, 0, len(ranges))
	for _, r := range ranges {
		s, ok := spanOf(r.From, r.To)
		if !ok {
			return nil, false
		}
		spans = append(spans, s)
	}
	return normalize(spans)
}
