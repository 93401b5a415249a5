package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Hosts that read the store for others, which follow them, also watch the hosts
// that requests are handed to, and tell their followers which of these are
// silent: each entry host on its own would find out by a request of one of its
// callers.

const (
	// silentAfterPings pings in a row without an answer make a host silent to
	// the host that watches it.
	silentAfterPings = 2
	// silenceReportTTL is how long the report of a host about silent ones counts. It
	// repeats it with each heartbeat.
	silenceReportTTL = 1500 * time.Millisecond
	// silentHostCost is what a silent host costs: it is asked only when no other
	// is left.
	silentHostCost = 4000
)

// silenceReport is what a host said of others.
type silenceReport struct {
	at    time.Time
	hosts map[core.HostID]bool
}

// recordSilenceReport takes a host's report about silent ones.
func (e *Engine) recordSilenceReport(now time.Time, event HostsSilent) {
	report := &silenceReport{at: now, hosts: make(map[core.HostID]bool, len(event.Hosts))}
	for _, id := range event.Hosts {
		report.hosts[id] = true
	}
	before := e.fleet.silenceReports[event.By]
	maps.DeleteFunc(e.fleet.silenceReports, func(_ core.HostID, old *silenceReport) bool { return now.Sub(old.at) >= silenceReportTTL })
	e.fleet.silenceReports[event.By] = report
	if before == nil && len(report.hosts) > 0 || before != nil && !maps.Equal(before.hosts, report.hosts) {
		e.note(Note{Decision: DecisionHostsSilent, Upstream: core.UpstreamID(event.By), Parts: len(report.hosts), Detail: joinNames(event.Hosts)})
	}
}

// setFollowed notes whether others follow this host. One that nobody follows says
// nothing that would grow old.
func (e *Engine) setFollowed(byOthers bool) {
	e.fleet.followed = byOthers
	if !byOthers && len(e.fleet.reportedSilent) > 0 {
		e.fleet.reportedSilent, e.out.Silent = nil, &SilentHosts{}
	}
}

// silent says that a host probably does not answer: it let a request of this
// host's run out and was not heard since, or a host that watches it says so.
func (f *fleet) silent(now time.Time, p *peer) bool {
	if p.lostAt.After(p.lastAliveAt()) {
		return true
	}
	for _, report := range f.silenceReports {
		if report.hosts[p.ID] && now.Sub(report.at) < silenceReportTTL && p.lastAliveAt().Before(report.at) {
			return true
		}
	}
	return false
}

// watchHosts pings the silent ones of the hosts that requests are handed to, if
// others follow this host, and tells its followers of changes.
func (e *Engine) watchHosts(now time.Time) {
	if !e.fleet.followed {
		return
	}
	var silent []core.HostID
	for _, h := range e.fleet.handoverTargets() {
		p := e.fleet.peers[h.ID]
		if p == nil {
			continue
		}
		if !p.lastAliveAt().Before(p.pingedAt) {
			p.pings = 0
		}
		if now.Sub(p.lastAliveAt()) < pingInterval {
			continue
		}
		if p.pings >= silentAfterPings {
			silent = append(silent, p.ID)
		}
		p.pings++
		p.pingedAt = now
		e.out.Probes = append(e.out.Probes, p.Host)
	}
	if !slices.Equal(silent, e.fleet.reportedSilent) {
		e.fleet.reportedSilent = silent
		e.out.Silent = &SilentHosts{Hosts: silent}
		e.note(Note{Decision: DecisionHostsSilent, Parts: len(silent), Detail: joinNames(silent)})
	}
}

// lastAliveAt is when something came from the host last.
func (p *peer) lastAliveAt() time.Time {
	if p.relay.heardAt.After(p.heardAt) {
		return p.relay.heardAt
	}
	return p.heardAt
}

// schedulePing pings a host that lost a request, after a while and then again and
// again, until it answers.
func (e *Engine) schedulePing(now time.Time, p *peer, wait time.Duration) {
	at := now.Add(wait)
	p.askAt = at
	e.timers.Add(at, func(now time.Time) {
		if e.fleet.peers[p.ID] != p || p.askAt != at || !p.lostAt.After(p.lastAliveAt()) {
			return
		}
		e.out.Probes = append(e.out.Probes, p.Host)
		e.schedulePing(now, p, suspectMost)
	})
}
