package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Some hosts read the store on behalf of others, which follow them. They also
// watch the hosts to which requests are handed over, and report the silent ones
// to their followers. Without these reports, each entry host would detect a
// silent host only through a caller's request.

const (
	// silentAfterPings is how many pings in a row without an answer make a
	// watched host count as silent.
	silentAfterPings = 2
	// silenceReportTTL is how long a report about silent hosts is valid. Its
	// sender repeats it with each heartbeat.
	silenceReportTTL = 1500 * time.Millisecond
	// silentHostCost is the cost of a silent host, in requests that wait at the
	// host. It is so high that requests are handed over to a silent host only if
	// no other is left.
	silentHostCost = 4000
)

// silenceReport lists the hosts that another host reported as silent.
type silenceReport struct {
	at    time.Time
	hosts map[core.HostID]bool
}

// recordSilenceReport records a host's report about silent hosts.
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

// setFollowed records whether other hosts follow this one. When the last follower
// is gone, the report is withdrawn, since it is no longer updated.
func (e *Engine) setFollowed(byOthers bool) {
	e.fleet.followed = byOthers
	if !byOthers && len(e.fleet.reportedSilent) > 0 {
		e.fleet.reportedSilent, e.out.Silent = nil, &SilentHosts{}
	}
}

// silent reports whether a host is likely not to answer: it left a request of this
// host unanswered and has sent nothing since, or a watching host reported it as
// silent.
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

// watchHosts pings those hosts to which requests may be handed over that have sent
// nothing recently, and reports changes to the followers. It does nothing if no
// host follows this one.
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
			p.unansweredPings = 0
		}
		if now.Sub(p.lastAliveAt()) < pingInterval {
			continue
		}
		if p.unansweredPings >= silentAfterPings {
			silent = append(silent, p.ID)
		}
		p.unansweredPings++
		p.pingedAt = now
		e.out.Probes = append(e.out.Probes, p.Host)
	}
	if !slices.Equal(silent, e.fleet.reportedSilent) {
		e.fleet.reportedSilent = silent
		e.out.Silent = &SilentHosts{Hosts: silent}
		e.note(Note{Decision: DecisionHostsSilent, Parts: len(silent), Detail: joinNames(silent)})
	}
}

// lastAliveAt returns when the last message arrived from the host.
func (p *peer) lastAliveAt() time.Time {
	if p.relay.heardAt.After(p.heardAt) {
		return p.relay.heardAt
	}
	return p.heardAt
}

// schedulePing pings a host that lost a request after the given wait, and then
// repeatedly until it answers.
func (e *Engine) schedulePing(now time.Time, p *peer, wait time.Duration) {
	at := now.Add(wait)
	p.nextPingAt = at
	e.timers.Add(at, func(now time.Time) {
		if e.fleet.peers[p.ID] != p || p.nextPingAt != at || !p.lostAt.After(p.lastAliveAt()) {
			return
		}
		e.out.Probes = append(e.out.Probes, p.Host)
		e.schedulePing(now, p, maxHostBackoff)
	})
}
