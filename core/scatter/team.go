package scatter

import (
	"crypto/sha256"
	"time"
)

// TeamID is the name of a team.
type TeamID string

// KeyDigest is the SHA-256 digest of a caller's key. Keys are compared and passed
// around as digests only: no log line, metric or stored record can contain a key, and
// the time of a comparison depends on the digest, not on the key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a group of callers that share keys and a quota.
type Team struct {
	ID    TeamID
	Keys  []KeyDigest
	Quota Quota
	// Priority replaces the priority of the route; nil keeps that of the route.
	Priority *int
	// Regions are the regions whose upstreams may run the team's requests, besides
	// the restriction of the route; empty allows all.
	Regions []RegionID
}

// Quota limits the requests of a team over all hosts together.
type Quota struct {
	// Rate is in requests per second; 0 is no limit.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Teams are the teams of one configuration version. It is immutable.
type Teams struct {
	byID  map[TeamID]*Team
	byKey map[KeyDigest]*Team
}

// NewTeams indexes teams. A key that several teams have identifies none of them and is
// returned as shared, with the teams that have it.
func NewTeams(teams []Team) (indexed *Teams, shared [][]TeamID) {
	t := &Teams{byID: make(map[TeamID]*Team, len(teams)), byKey: map[KeyDigest]*Team{}}
	owners := map[KeyDigest][]TeamID{}
	var order []KeyDigest
	for i := range teams {
		team := &teams[i]
		t.byID[team.ID] = team
		for _, key := range team.Keys {
			if t.byKey[key] == team {
				continue
			}
			if owners[key] == nil {
				order = append(order, key)
			}
			owners[key] = append(owners[key], team.ID)
			t.byKey[key] = team
		}
	}
	for _, key := range order {
		if len(owners[key]) > 1 {
			delete(t.byKey, key)
			shared = append(shared, owners[key])
		}
	}
	return t, shared
}

// Team returns a team by its name, or nil.
func (t *Teams) Team(id TeamID) *Team {
	if t == nil {
		return nil
	}
	return t.byID[id]
}

// limited returns the teams with a limit.
func (t *Teams) limited() (teams []*Team) {
	if t == nil {
		return nil
	}
	for _, team := range t.byID {
		if team.Quota.Limited() {
			teams = append(teams, team)
		}
	}
	return teams
}

// Identity states on whose behalf a request is sent to upstreams.
type Identity struct {
	// Checked is true if the configuration has teams. The headers by which the caller
	// identifies itself are replaced then, and otherwise forwarded as they are.
	Checked bool
	// Team is empty for a caller that is not identified, on a public route.
	Team TeamID
}

// identify returns the team of a request; nil if there is none. It returns false if the
// route requires a key and the request has no valid one.
func (c *Config) identify(r *Route, a RequestArrived) (team *Team, ok bool) {
	if c.Teams == nil {
		return nil, true
	}
	if a.HasKey {
		team = c.Teams.byKey[a.Key]
	}
	return team, team != nil || r.Public
}

// identity returns on whose behalf a call is sent to upstreams.
func (c *call) identity() Identity {
	identity := Identity{Checked: c.config.Teams != nil}
	if c.team != nil {
		identity.Team = c.team.ID
	}
	return identity
}

// priority returns the rank of a call: that of its team, or else that of its route.
func (c *call) priority() int {
	if c.team != nil && c.team.Priority != nil {
		return *c.team.Priority
	}
	return c.route.Priority
}

// allowsRegion reports whether upstreams of a region may run the call.
func (c *call) allowsRegion(region RegionID) bool {
	return c.route.allowsRegion(region) && (c.team == nil || includesRegion(c.team.Regions, region))
}

// Revocation bounds how long a host accepts keys that it cannot confirm.
type Revocation struct {
	// Strict hosts refuse requests with keys once the configuration has been
	// unconfirmed for Within. Others keep to the last version that they have.
	Strict bool
	Within time.Duration
}

// keysUnconfirmed reports whether keys must not be accepted, since one of them may have
// been withdrawn too long ago.
func (e *Engine) keysUnconfirmed(now time.Time) bool {
	r := e.options.Revocation
	return r.Strict && r.Within > 0 && e.directory.unreachableFor(now) >= r.Within
}

// unauthorized answers a request whose key the configuration does not have. While a newer
// version may have the key, the request is refused instead.
func (e *Engine) unauthorized(now time.Time, a RequestArrived, r *Route) {
	if a.HasKey && e.directory.stale(now) {
		e.refuseUnrouted(now, a, "the key may be newer than the configuration")
		return
	}
	e.stats.Unauthorized++
	e.out.Answers = append(e.out.Answers, Answer{Call: a.Call, Kind: Unauthorized})
	why := ": no key"
	if a.HasKey {
		why = ": unknown key"
	}
	e.note(Note{Decision: DecisionAnswer, RequestID: a.RequestID, Route: r.Name, Version: e.Version(), Detail: Unauthorized.String() + why})
}
