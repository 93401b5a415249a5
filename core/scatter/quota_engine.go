package scatter

import "time"

// quotaHold is what a call has of the quota of its team.
type quotaHold struct {
	team  *quotaTeam  // nil if the team has no limit
	claim *quotaClaim // while it waits for a token
	taken bool
}

// newQuotas returns the quota decisions of this host, with the engine's outputs.
func (e *Engine) newQuotas() *quotas {
	q := newQuotas(e.options.Self, e.options.Quota)
	q.stats = &e.stats
	q.asked = func(r QuotaRequest) {
		for _, want := range r.Wants {
			e.stats.QuotaAsked += uint64(want.Tokens)
		}
		e.out.QuotaRequests = append(e.out.QuotaRequests, r)
	}
	q.note = e.note
	q.after = func(at time.Time, fire timerFunc) { e.timers.Add(at, fire) }
	return q
}

// setQuotas applies the quotas of the configuration in force, and starts to keep them up
// to date on the first that has any.
func (e *Engine) setQuotas(now time.Time) {
	limited := e.config.Teams.limited()
	e.quotas.setTeams(now, limited)
	if len(limited) > 0 && !e.quotas.ticking {
		e.quotas.ticking = true
		e.quotas.started, e.quotas.shares.startedAt = e.startedAt.UnixMicro(), e.startedAt
		e.tickQuotas(now)
	}
}

// tickQuotas updates the quotas regularly while there are any.
func (e *Engine) tickQuotas(now time.Time) {
	e.quotas.release(now)
	if len(e.quotas.teams.byKey) == 0 {
		e.quotas.ticking = false
		return
	}
	if e.fleet.role == Gatherer {
		e.quotas.tick(now)
	}
	e.timers.Add(now.Add(quotaTick), e.tickQuotas)
}

// limited reports whether a call counts against a quota.
func (c *call) limited() bool { return c.team != nil && c.team.Quota.Limited() }

// countAccepted counts a request for the budgets of extra sends. One of a team with a limit
// counts once it has a token: load beyond a quota must not raise the budgets.
func (e *Engine) countAccepted(now time.Time, c *call) {
	if c.request.Repeat {
		return // the first host has already counted it
	}
	for _, p := range c.parts {
		e.budget(p.service).requests.add(now)
	}
}

// startCall sends the parts of a call.
func (e *Engine) startCall(now time.Time, c *call) {
	if c.route.IsGather() && e.quarantine.needsProbe(c.request.Fingerprint) {
		e.startProbe(now, c)
	} else {
		e.sendAll(now, c)
	}
	e.tryComplete(now, c)
}

// claimQuota starts a call once its team has a token. The call waits meanwhile, and ends
// as any other if its caller leaves or its deadline passes.
func (e *Engine) claimQuota(now time.Time, c *call) {
	if !c.limited() {
		e.startCall(now, c)
		return
	}
	t := e.quotas.team(c.team.ID, c.team.Quota)
	c.quota.team = t
	if wait := t.exceedsLocally(now); wait > 0 {
		e.refuseOverQuota(now, c, wait)
		return
	}
	claim := &quotaClaim{wanted: 1}
	claim.settle = func(now time.Time, got int, wait time.Duration) {
		c.quota.claim = nil
		if c.done { // ended by another claim that was settled before
			e.quotas.giveBack(now, t, got)
			return
		}
		switch {
		case got == 0 && !e.quotas.canDecide(now, t):
			e.refuse(now, c, "no gatherer that decides on quotas can be reached")
		case got == 0:
			e.refuseOverQuota(now, c, wait)
		case !e.endsBeforeStop(now, c.wanted, e.usualLatency(c.route, c.parts[0].service).estimate):
			c.quota.taken = true
			e.refuse(now, c, "this host stops before the request is expected to end")
		default:
			c.quota.taken = true
			t.local.take(1)
			e.stats.QuotaGranted++
			e.countAccepted(now, c)
			e.startCall(now, c)
		}
	}
	c.quota.claim = claim
	e.quotas.claim(now, t, claim)
}

// releaseQuota gives up what a call that ends has of its quota. A token is returned only
// if the request has not run and never will.
func (e *Engine) releaseQuota(now time.Time, c *call) {
	hold := c.quota
	c.quota = quotaHold{}
	switch {
	case hold.claim != nil:
		e.quotas.abandon(hold.team, hold.claim)
	case hold.taken && !c.mayHaveRun():
		hold.team.local.put(1)
		e.quotas.giveBack(now, hold.team, 1)
	}
}

// refuseOverQuota ends a call that is beyond the quota of its team.
func (e *Engine) refuseOverQuota(now time.Time, c *call, wait time.Duration) {
	e.stats.QuotaDenied++
	c.queued = false // its end says nothing about queues
	kind := OverQuota
	if c.request.Repeat {
		kind = Declined // the request may have run at another host
	} else {
		e.stats.OverQuota++
	}
	retryAfter := c.quota.team.nextRetry(now, wait, e.quotas.limits.Window, len(e.quotas.shares.members), e.options.Random())
	e.finish(now, c, Answer{Call: c.id, Kind: kind, RetryAfter: retryAfter}, "team "+string(c.team.ID))
}

// answerQuota answers a request of another host for tokens.
func (e *Engine) answerQuota(now time.Time, r QuotaAsked) {
	e.quotas.answer(now, r, e.limitedTeam, func(reply QuotaReply) { e.out.QuotaReplies = append(e.out.QuotaReplies, reply) })
}

// limitedTeam returns the quota of a team in the configuration in force; false if the
// team is not known.
func (e *Engine) limitedTeam(id TeamID) (Quota, bool) {
	if e.config == nil {
		return Quota{}, false
	}
	if team := e.config.Teams.Team(id); team != nil {
		return team.Quota, true
	}
	return Quota{}, false
}
