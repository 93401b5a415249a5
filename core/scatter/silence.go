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
	// silenceHolds is how long the word of a host about silent ones counts. It
	// repeats it with each heartbeat.
	silenceHolds = 1500 * time.Millisecond
	// silentHandover is what a silent host costs: it is asked only when no other
	// is left.
	silentHandover = 4000
)

// silence is what a host said of others.
type silence struct {
	at    time.Time
	hosts map[core.HostID]bool
}

// silentHosts takes a host's word about silent ones.
func (e *Engine) silentHosts(now time.Time, event HostsSilent) {
	word := &silence{at: now, hosts: make(map[core.HostID]bool, len(event.Hosts))}
	for _, id := range event.Hosts {
		word.hosts[id] = true
	}
	before := e.fleet.words[event.By]
	maps.DeleteFunc(e.fleet.words, func(_ core.HostID, old *silence) bool { return now.Sub(old.at) >= silenceHolds })
	e.fleet.words[event.By] = word
	if before == nil && len(word.hosts) > 0 || before != nil && !maps.Equal(before.hosts, word.hosts) {
		e.note(Note{Decision: DecisionSilent, Upstream: core.UpstreamID(event.By), Parts: len(word.hosts), Detail: joined(event.Hosts)})
	}
}

// followed notes whether others follow this host. One that nobody follows says
// nothing that would grow old.
func (e *Engine) followed(byOthers bool) {
	e.fleet.followed = byOthers
	if !byOthers && len(e.fleet.silentSaid) > 0 {
		e.fleet.silentSaid, e.out.Silent = nil, &SilentHosts{}
	}
}

// silent says that a host probably does not answer: it let a request of this
// host's run out and was not heard since, or a host that watches it says so.
func (f *fleet) silent(now time.Time, p *peer) bool {
	if p.lostAt.After(p.lastHeard()) {
		return true
	}
	for _, word := range f.words {
		if word.hosts[p.ID] && now.Sub(word.at) < silenceHolds && p.lastHeard().Before(word.at) {
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
	for _, h := range e.fleet.able() {
		p := e.fleet.peers[h.ID]
		if p == nil {
			continue
		}
		if now.Sub(p.lastHeard()) < contactEvery {
			p.pings = 0
			continue
		}
		if p.pings >= silentAfterPings {
			silent = append(silent, p.ID)
		}
		p.pings++
		e.out.Probes = append(e.out.Probes, p.Host)
	}
	if !slices.Equal(silent, e.fleet.silentSaid) {
		e.fleet.silentSaid = silent
		e.out.Silent = &SilentHosts{Hosts: silent}
		e.note(Note{Decision: DecisionSilent, Parts: len(silent), Detail: joined(silent)})
	}
}

// lastHeard is when something came from the host last.
func (p *peer) lastHeard() time.Time {
	if p.relay.heardAt.After(p.heardAt) {
		return p.relay.heardAt
	}
	return p.heardAt
}

// askLater pings a host that lost a request, after a while and then again and
// again, until it answers.
func (e *Engine) askLater(now time.Time, p *peer, wait time.Duration) {
	at := now.Add(wait)
	p.askAt = at
	e.timers.Add(at, func(now time.Time) {
		if e.fleet.peers[p.ID] != p || p.askAt != at || !p.lostAt.After(p.lastHeard()) {
			return
		}
		e.out.Probes = append(e.out.Probes, p.Host)
		e.askLater(now, p, suspectMost)
	})
}
