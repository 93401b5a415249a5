package scatter

import "time"

// plannedStopCheck is how long after the removal of its entry a refused connection shows
// that an upstream has crashed. One that stops as planned serves for longer than that.
const plannedStopCheck = time.Second

// keepOpen records an attempt that has ended here without an answer, while its upstream
// may still run the request.
func (e *Engine) keepOpen(now time.Time, a *attempt, checked bool) {
	e.keepLossOpen(now, a.to.Upstream, openAttempt{a.loss(now), a.id}, checked)
}

// loss returns the attempt as one whose answer was lost at the given time.
func (a *attempt) loss(now time.Time) loss {
	c := a.part.call
	runsUntil := c.deadline
	if latest := a.sentAt.Add(maxOpenRun); runsUntil.After(latest) {
		runsUntil = latest
	}
	return loss{fingerprint: c.request.Fingerprint, parts: len(c.parts), sentAt: a.sentAt, at: now, runsUntil: runsUntil}
}

func (e *Engine) keepLossOpen(now time.Time, target Upstream, a openAttempt, checked bool) {
	q := e.quarantine
	q.open.add(now, target, a, checked)
	if e.directory.hasSuccessor(now, target) {
		e.recordExit(now, target)
	}
	e.scheduleOpenScan(now)
	if q.stopping {
		e.publishSuspects(now, false)
	}
}

// keepCallOpen records the running attempts of a call whose caller has left.
func (e *Engine) keepCallOpen(now time.Time, c *call) {
	if c.hasUpstreamAnswer() {
		return
	}
	checked := 0
	for _, p := range c.parts {
		for _, a := range p.attempts {
			if _, running := e.attempts[a.id]; running {
				e.keepOpen(now, a, checked < maxCheckedParts)
				checked++
			}
		}
	}
}

// endOpen handles the end of an attempt that this host has cancelled.
func (e *Engine) endOpen(a *attempt, outcome Outcome) {
	if outcome.SurelyNotRun() {
		e.quarantine.open.remove(a.to.Start(), func(o openAttempt) bool { return o.id == a.id })
	}
}

// scheduleOpenScan schedules the next scan of the open attempts.
func (e *Engine) scheduleOpenScan(now time.Time) {
	o := &e.quarantine.open
	if o.scheduled || len(o.byStart) == 0 {
		return
	}
	o.scheduled = true
	e.timers.Add(now.Add(openScanInterval), func(now time.Time) {
		o.scheduled = false
		for _, target := range o.due(now) {
			e.checkUpstream(now, target)
		}
		e.scheduleOpenScan(now)
	})
}

// checkUpstream checks whether an upstream still accepts connections, unless a check of it
// is in progress.
func (e *Engine) checkUpstream(now time.Time, target Upstream) {
	if e.quarantine.startCheck(now, target) {
		e.out.Checks = append(e.out.Checks, Check{Target: target})
	}
}

// recordExit records that an upstream has ended. It counts against the requests that it
// may have run, unless it has stopped as planned.
func (e *Engine) recordExit(now time.Time, target Upstream) {
	if e.directory.stopsAsPlanned(now, target) {
		e.quarantine.open.take(now, target.Start())
		return
	}
	e.reportFindings(now, e.quarantine.recordCrash(now, target.Start(), nil))
}

// adoptCrashes counts the crashes that other hosts have newly found against the open
// attempts of this one.
func (e *Engine) adoptCrashes(now time.Time, found []finding) {
	for _, f := range found {
		if w := e.quarantine.open.byStart[f.crash.UpstreamStart]; w != nil && f.by != e.options.Self {
			e.recordExit(now, w.target)
		}
	}
}

// checkSuccessors looks for new entries that show that watched upstreams have ended.
func (e *Engine) checkSuccessors(now time.Time) {
	for _, w := range e.quarantine.open.sorted() {
		if e.directory.hasSuccessor(now, w.target) {
			e.recordExit(now, w.target)
		}
	}
}

// noteListing logs a change in the list of upstreams. One with open attempts whose entry has
// been removed is checked: if it has crashed it refuses connections, if it stops as
// planned it still accepts them.
func (e *Engine) noteListing(now time.Time, u *upstream, decision Decision) {
	e.noteUpstream(u, decision)
	if decision == DecisionUpstreamRemoved && e.quarantine.open.byStart[u.Start()] != nil {
		e.checkUpstream(now, u.Upstream)
	}
}

// hasSuccessor reports whether a newer start of an upstream is registered, or a newer
// upstream at its address, so that it has ended. While entries may have changed unseen,
// this does not show whether it was a planned stop.
func (d *directory) hasSuccessor(now time.Time, target Upstream) bool {
	if d.mayHaveExpired(now) || d.restored.active(now) {
		return false
	}
	if u := d.byID[target.ID]; u != nil && u.Started > target.Started {
		return true
	}
	u := d.byAddress[target.Address]
	return u != nil && u.ID != target.ID && u.Started > target.Started
}

// isWithdrawn reports whether the entry of an upstream was removed.
func (d *directory) isWithdrawn(target Upstream) bool {
	u := d.stateOf(target)
	return u != nil && !u.withdrawnAt.IsZero()
}

// stateOf returns the state of a start of an upstream, nil if none is kept.
func (d *directory) stateOf(target Upstream) *upstream {
	if u := d.byID[target.ID]; u != nil && u.Started == target.Started {
		return u
	}
	return d.detached.byKey[noticeKeyOf(target)]
}

// stopsAsPlanned reports whether an upstream has announced its stop, or may have: its
// entry was removed while it still served. One without any state left is not suspected.
func (d *directory) stopsAsPlanned(now time.Time, target Upstream) bool {
	u := d.stateOf(target)
	return u == nil || u.Draining || u.leaving || d.domainsOut[u.Domain] ||
		!u.withdrawnAt.IsZero() && now.Sub(u.withdrawnAt) > plannedStopCheck
}
