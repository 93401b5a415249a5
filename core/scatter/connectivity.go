package scatter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minFailingUpstreams is how many upstreams have to fail at the same time for
	// this host to check its own connectivity, and the least that have to fail the
	// checks for it to be partitioned.
	minFailingUpstreams = 3
	// minFailuresInRow is how many direct attempts have to fail or stall without an answer
	// in between for the same check. A host that sends directly to one or two upstreams
	// only does not see more of them fail.
	minFailuresInRow = 3
	// failureTTL is how long the failure of an upstream counts.
	failureTTL = 3 * time.Second
	// stallScanInterval is the time between two scans for direct attempts that are
	// not answered, unansweredAfter how long an attempt must have run to count. It
	// is longer than the usual pauses of upstreams. While no upstream answers,
	// attempts count after silentAfter.
	stallScanInterval = 50 * time.Millisecond
	unansweredAfter   = 250 * time.Millisecond
	silentAfter       = 100 * time.Millisecond
	// roundTimeout is when a round without all results ends. It decides nothing,
	// since this process did not run meanwhile or is overloaded.
	roundTimeout = 2 * time.Second
	// connectivityChecks is how many upstreams a round checks, localChecks how many of
	// them are in this host's own failure domain.
	connectivityChecks = 5
	localChecks        = 2
	// checkRoundInterval is the least time between the starts of two rounds,
	// recoveryInterval the time between two rounds while this host is partitioned.
	// recoveredAfterRounds is how many of those in a row have to succeed.
	checkRoundInterval   = time.Second
	recoveryInterval     = 500 * time.Millisecond
	recoveredAfterRounds = 2
)

// connectivity tracks whether this host can reach the upstreams.
//
// A host that has lost its own links fails all requests, and takes upstreams that
// work for failed ones. Failed attempts alone do not distinguish the two cases, so
// when several upstreams fail, the host opens connections to others: it is
// partitioned if none can be opened.
type connectivity struct {
	partitioned bool
	// refused is true while this host is partitioned and all connections are refused
	// at once. Those that are open may then still work.
	refused    bool
	since      time.Time // of the last change of partitioned
	answeredAt time.Time // of the last answer to a direct attempt
	trialAt    time.Time // of the last trial request
	// failing holds when a direct attempt at an upstream last failed.
	failing map[*upstream]time.Time
	// failuresInRow counts the direct attempts that have failed since the last answer, the
	// last one at failedAt; stalled is how many are running and overdue.
	failuresInRow, stalled int
	failedAt               time.Time
	// round is the round of checks in progress; nil if there is none. roundAt is
	// when the last one began, succeededRounds counts those that succeeded in a row.
	round           *checkRound
	rounds          uint64
	roundAt         time.Time
	succeededRounds int
	lastOpened      UpstreamStart // to which a check last opened a connection
	// refusals are the refused connections that are held to be crashes only after a
	// later round has succeeded.
	refusals []refusal
	// checkWhenListed is set if a round is to be started as soon as the upstreams
	// are known.
	checkWhenListed bool

	scanning  bool // whether the timer of the scan is set
	scheduled bool // whether the timer of the next round is set
}

// checkRound is a round of checks of several upstreams.
type checkRound struct {
	id              uint64
	checks          int
	opened, refused int
	missing         int // checks that have not ended
}

// refusal is a connection that an upstream refused, and the number of rounds that
// had begun by then.
type refusal struct {
	by    UpstreamStart
	round uint64
}

// Partitioned reports whether this host cannot reach the upstreams.
func (e *Engine) Partitioned() bool { return e.connectivity.partitioned }

// observeConnectivity takes the end of a direct attempt into account.
func (e *Engine) observeConnectivity(now time.Time, a *attempt, outcome Outcome) {
	if a.via != nil {
		return
	}
	c := &e.connectivity
	switch {
	case outcome.Answered():
		c.answeredAt, c.failuresInRow = now, 0
		delete(c.failing, a.to)
	case (outcome == Unreached || outcome == Lost) && !a.cancelled:
		c.failing[a.to] = now
		if now.Sub(c.failedAt) > failureTTL {
			c.failuresInRow = 0
		}
		c.failedAt = now
		c.failuresInRow++
		e.suspectConnectivity(now)
	}
}

// scanStalls scans the direct attempts for those that are not answered, as long as
// there are any.
func (e *Engine) scanStalls(now time.Time) {
	c := &e.connectivity
	if c.scanning {
		return
	}
	c.scanning = true
	e.timers.Add(now.Add(stallScanInterval), func(now time.Time) {
		c.scanning, c.stalled = false, 0
		running := false
		for _, a := range e.attempts {
			if a.via != nil {
				continue
			}
			running = true
			limit := unansweredAfter
			if now.Sub(c.answeredAt) >= silentAfter {
				limit = silentAfter
			}
			if now.Sub(a.sentAt) >= limit && now.After(a.overdueAt) {
				c.failing[a.to] = now
				c.stalled++
			}
		}
		if running {
			e.scanStalls(now)
		}
		e.suspectConnectivity(now)
	})
}

// suspectConnectivity starts a round of checks if enough upstreams fail.
func (e *Engine) suspectConnectivity(now time.Time) {
	c := &e.connectivity
	if c.partitioned || c.round != nil || now.Sub(c.roundAt) < checkRoundInterval {
		return
	}
	for u, at := range c.failing {
		if u.removed || now.Sub(at) > failureTTL {
			delete(c.failing, u)
		}
	}
	if len(c.failing) >= minFailingUpstreams || len(c.failing) > 0 && c.noneAnswers(now) {
		e.startCheckRound(now)
	}
}

// noneAnswers reports whether the last direct attempts have all failed or stalled.
func (c *connectivity) noneAnswers(now time.Time) bool {
	return c.failuresInRow+c.stalled >= minFailuresInRow && now.Sub(c.answeredAt) >= silentAfter
}

// checkConnectivityOnce starts a round of checks although no upstream has failed.
func (e *Engine) checkConnectivityOnce(now time.Time) {
	c := &e.connectivity
	c.checkWhenListed = !e.directory.listed
	if e.directory.listed && c.round == nil {
		e.startCheckRound(now)
	}
}

// confirmRefusal checks other upstreams before a refused connection counts as the
// crash of an upstream. With too few upstreams there is nothing to compare with.
func (e *Engine) confirmRefusal(now time.Time, by UpstreamStart) {
	c := &e.connectivity
	switch {
	case c.partitioned:
		e.resolveCheck(now, by, CheckFailed)
	case len(e.directory.byID) < minFailingUpstreams:
		e.resolveCheck(now, by, UpstreamRefuses)
	default:
		c.refusals = append(c.refusals, refusal{by, c.rounds})
		if c.round == nil {
			e.startCheckRound(now)
		}
	}
}

// resolveRefusals counts the refused connections that a round has confirmed, or
// drops all if this host is partitioned. The next round confirms the remaining ones.
func (e *Engine) resolveRefusals(now time.Time, round *checkRound) {
	c := &e.connectivity
	pending := c.refusals
	c.refusals = nil
	for _, r := range pending {
		switch {
		case c.partitioned:
			e.resolveCheck(now, r.by, CheckFailed)
		case round.opened > 0 && r.round < round.id, round.checks < minFailingUpstreams:
			e.resolveCheck(now, r.by, UpstreamRefuses)
		default:
			c.refusals = append(c.refusals, r)
		}
	}
	if len(c.refusals) > 0 && c.round == nil {
		e.startCheckRound(now)
	}
}

// startCheckRound starts to open connections to several upstreams.
func (e *Engine) startCheckRound(now time.Time) {
	c := &e.connectivity
	targets := e.pickChecks()
	c.rounds++
	c.roundAt = now
	c.round = &checkRound{id: c.rounds, checks: len(targets), missing: len(targets)}
	for _, u := range targets {
		e.out.Checks = append(e.out.Checks, Check{Target: u.Upstream, Round: c.rounds})
	}
	round := c.round
	e.timers.Add(now.Add(roundTimeout), func(now time.Time) {
		if c.round == round {
			e.endCheckRound(now, false)
		}
	})
}

// pickChecks returns upstreams at random: localChecks of this host's own failure
// domain, which it reaches while its domain is cut off from others, and further ones of
// all domains, each time preferably those that have not failed. While this host is
// partitioned, they include the one to which the last connection was opened.
func (e *Engine) pickChecks() []*upstream {
	c := &e.connectivity
	all := e.directory.sorted()
	order := make(map[*upstream]float64, len(all))
	for _, u := range all {
		order[u] = e.options.Random()
		switch {
		case c.partitioned && u.Start() == c.lastOpened:
			order[u]--
		case !c.partitioned && !c.failing[u].IsZero():
			order[u]++
		}
	}
	slices.SortFunc(all, func(a, b *upstream) int { return cmp.Compare(order[a], order[b]) })
	var targets []*upstream
	for _, u := range all {
		if u.Domain == e.fleet.domain && len(targets) < localChecks {
			targets = append(targets, u)
		}
	}
	for _, u := range all {
		if len(targets) < connectivityChecks && !slices.Contains(targets, u) {
			targets = append(targets, u)
		}
	}
	return targets
}

// handleConnectivityCheck processes the result of one check of a round.
func (e *Engine) handleConnectivityCheck(now time.Time, checked UpstreamChecked) {
	c := &e.connectivity
	if c.round == nil || c.round.id != checked.Round {
		return
	}
	c.round.missing--
	switch checked.Result {
	case UpstreamListens:
		c.round.opened++
		c.lastOpened = checked.Upstream
	case UpstreamRefuses:
		c.round.refused++
	case CheckFailed:
	}
	if c.round.missing == 0 || c.round.opened > 0 && !c.partitioned {
		e.endCheckRound(now, true)
	}
}

// endCheckRound decides by a round of checks whether this host is partitioned. It
// is so from a round in which no connection was opened until several rounds in a
// row in which one was. An incomplete round decides nothing.
func (e *Engine) endCheckRound(now time.Time, complete bool) {
	c := &e.connectivity
	round := c.round
	c.round = nil
	if c.partitioned && complete {
		c.refused = round.refused == round.checks
	}
	switch {
	case !complete:
	case !c.partitioned && round.opened == 0 && round.checks >= minFailingUpstreams:
		e.enterPartition(now, round)
	case c.partitioned && round.opened > 0:
		if c.succeededRounds++; c.succeededRounds >= recoveredAfterRounds {
			e.leavePartition(now)
		}
	default:
		c.succeededRounds = 0
	}
	if c.partitioned {
		e.scheduleRecoveryRound(now)
	}
	e.resolveRefusals(now, round)
}

func (e *Engine) scheduleRecoveryRound(now time.Time) {
	c := &e.connectivity
	if c.scheduled {
		return
	}
	c.scheduled = true
	e.timers.Add(now.Add(recoveryInterval), func(now time.Time) {
		c.scheduled = false
		if c.partitioned && c.round == nil {
			e.startCheckRound(now)
		}
	})
}
