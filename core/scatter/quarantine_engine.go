package scatter

import "time"

// handleCheck handles the result of a check of an upstream. A refused connection
// counts only once this host has opened one to another upstream: if its own links
// are down, connections to upstreams that work may be refused as well.
func (e *Engine) handleCheck(now time.Time, c UpstreamChecked) {
	if c.Result == UpstreamRefuses && e.quarantine.losses[c.Upstream] != nil {
		e.confirmRefusal(now, c.Upstream)
		return
	}
	e.resolveCheck(now, c.Upstream, c.Result)
}

// resolveCheck counts the losses of an upstream that refuses connections against their
// requests. At one that does not, these may still run.
func (e *Engine) resolveCheck(now time.Time, at UpstreamStart, result CheckResult) {
	q := e.quarantine
	checked := q.losses[at]
	if checked == nil {
		return
	}
	delete(q.losses, at)
	switch {
	case result == UpstreamRefuses && e.directory.stopsAsPlanned(now, checked.target):
		q.open.take(now, at)
	case result == UpstreamRefuses:
		e.reportFindings(now, q.recordCrash(now, at, checked.losses))
	default:
		for _, l := range checked.losses {
			e.keepLossOpen(now, checked.target, openAttempt{loss: l}, true)
		}
		if result == UpstreamListens {
			q.open.accepted(now, at)
		}
		if result == UpstreamListens && e.directory.isWithdrawn(checked.target) {
			q.open.take(now, at)
		}
	}
}

// handleSuspects handles the stored findings of all hosts.
func (e *Engine) handleSuspects(now time.Time, seen SuspectsSeen) {
	found := e.quarantine.merge(now, seen.ByHost, seen.Restored)
	e.reportFindings(now, found)
	e.adoptCrashes(now, found)
	e.adoptOpen(now, seen.ByHost)
	e.publishSuspects(now, false)
	if seen.Restored {
		e.sweepSuspects(now)
	}
}

// reportFindings logs and counts new findings, and publishes those of this host.
func (e *Engine) reportFindings(now time.Time, found []finding) {
	own, urgent := false, false
	for _, f := range found {
		own = own || f.by == e.options.Self
		note := Note{
			Decision: DecisionFingerprintSuspected, Fingerprint: f.fingerprint, Upstream: f.crash.ID, UpstreamsLost: f.crashCount,
			Version: e.Version(), Detail: "found by " + string(f.by),
		}
		e.stats.Accused++
		e.note(note)
		if f.quarantined {
			note.Decision = DecisionFingerprintQuarantined
			e.stats.Quarantined++
			e.note(note)
		}
		urgent = urgent || f.crashCount >= quarantineAfter
	}
	if own {
		e.publishSuspects(now, urgent)
		e.sweepSuspects(now)
	}
}

// publishSuspects publishes the findings of this host, immediately if urgent and
// after publishDelay otherwise.
func (e *Engine) publishSuspects(now time.Time, urgent bool) {
	q := e.quarantine
	if urgent {
		if report, changed := q.changes(); changed {
			e.out.Suspects = &SuspectReport{Suspects: report}
		}
		return
	}
	if q.publishing {
		return
	}
	q.publishing = true
	e.timers.Add(now.Add(publishDelay), func(now time.Time) {
		q.publishing = false
		e.publishSuspects(now, true)
	})
}

// sweepSuspects schedules the removal of expired suspicions.
func (e *Engine) sweepSuspects(now time.Time) {
	q := e.quarantine
	if q.sweeping {
		return
	}
	q.sweeping = true
	e.timers.Add(now.Add(sweepInterval), func(now time.Time) {
		q.sweeping = false
		if q.sweep(now) {
			e.sweepSuspects(now)
		}
		e.publishSuspects(now, true)
	})
}
