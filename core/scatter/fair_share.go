package scatter

import "time"

// fairShares orders the requests of teams that compete for too little room: within one
// priority, the team that has had the least of the upstreams' time goes first. So teams get
// equal shares, and what a team leaves unused is divided among the others.
//
// It answers the load of one team that sends many times its usual, within its quota, while
// the upstreams are full. In order of arrival, the requests of all teams would wait behind
// the crowd and be refused alike.
type fairShares struct {
	teams map[TeamID]*teamShare
	// virtual is the greatest time that a team had used when a request of it was sent. A
	// team that was idle starts there, so that it gains nothing for the time in which it
	// asked for nothing.
	virtual time.Duration
}

// teamShare is the upstreams' time that a team has used, by this host's sends.
type teamShare struct{ used time.Duration }

// maxIdleTeams is the number of remembered teams from which those that are not ahead of the
// virtual time are forgotten, which changes nothing for them.
const maxIdleTeams = 1024

// join returns the share of a team that sends a request. Requests without a team have one
// share together.
func (s *fairShares) join(id TeamID) *teamShare {
	if s.teams == nil {
		s.teams = map[TeamID]*teamShare{}
	}
	if len(s.teams) >= maxIdleTeams {
		for other, share := range s.teams {
			if share.used <= s.virtual {
				delete(s.teams, other)
			}
		}
	}
	share := s.teams[id]
	if share == nil {
		share = &teamShare{}
		s.teams[id] = share
	}
	share.used = max(share.used, s.virtual)
	return share
}

// charge records that a request was sent to an upstream which takes the given time for it.
// Refused requests cost nothing.
func (s *fairShares) charge(share *teamShare, cost time.Duration) {
	if share == nil {
		return
	}
	s.virtual = max(s.virtual, share.used)
	share.used += cost
}

// usedShare returns the upstreams' time that the team of a call has used; 0 without teams.
func (c *call) usedShare() time.Duration {
	if c.share == nil {
		return 0
	}
	return c.share.used
}
