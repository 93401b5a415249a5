package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// feedSet is a set of the feeds on which answers depend.
type feedSet uint8

const (
	configFeed feedSet = 1 << iota
	upstreamFeed
	domainFeed
	suspectFeed
	answerFeeds = configFeed | upstreamFeed | domainFeed | suspectFeed
)

// feedOf returns the feed that an event belongs to; none for other events.
func feedOf(event Event) feedSet {
	switch event.(type) {
	case ConfigSeen:
		return configFeed
	case UpstreamsListed:
		return upstreamFeed
	case DomainsOut:
		return domainFeed
	case SuspectsSeen:
		return suspectFeed
	}
	return 0
}

// lapsedFeeds are the feeds that this host has stopped following and not read again since.
// Their contents are not used: routes, keys and quotas may have been withdrawn meanwhile,
// upstreams may be gone and failure domains out of service.
type lapsedFeeds struct{ unread feedSet }

func (l *lapsedFeeds) lapse() { l.unread = answerFeeds }

func (l *lapsedFeeds) read(event Event) { l.unread &^= feedOf(event) }

func (l *lapsedFeeds) any() bool { return l.unread != 0 }

// lapse discards what this host has read from the feeds, which it does not follow any more.
// What bounds sends to upstreams and requests of teams is kept, and so is the newest version,
// below which no later one counts.
func (e *Engine) lapse(now time.Time) {
	e.lapsed.lapse()
	if e.config == nil && !e.directory.listed {
		return
	}
	version := e.Version()
	e.config, e.reported = nil, LimitsReported{}
	e.splits = map[*Route]*weightedRoundRobin{}
	e.quotas.setTeams(now, nil)
	e.directory.lapse(now)
	e.domainsOut = retained[core.DomainID, bool]{}
	e.directory.domainsOut = nil
	e.rollouts.lapse()
	e.note(Note{Decision: DecisionFeedsLapsed, Version: version})
}

// lapse removes all upstreams without any conclusion about them: the next list is the first
// one, in which those that are missing are gone.
func (d *directory) lapse(now time.Time) {
	for _, u := range d.sorted() {
		d.detach(now, u)
	}
	d.listed = false
	d.pendingGrace = nil
	d.graceEnds, d.earlierGrace = time.Time{}, time.Time{}
	d.recentRemovals = 0
	d.restored.until, d.restored.held = time.Time{}, nil
}

// lapse makes the orders and records count only once they have been read again.
func (r *rollouts) lapse() {
	if r != nil {
		r.ordersListed, r.recordsListed = false, false
	}
}
