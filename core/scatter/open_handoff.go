package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// A host that stops leaves its open attempts to the others, which see the crash of an
// upstream after its end.

const (
	// adoptedRun is how long an upstream is assumed to run a request of a host that has
	// stopped.
	adoptedRun = 4 * time.Second
	// maxPublishedOpen bounds the open attempts in a report.
	maxPublishedOpen = 256
	// maxAdopted bounds the attempts of other hosts that are remembered as adopted.
	maxAdopted = 1024
)

// adoptedAttempt identifies an open attempt of another host.
type adoptedAttempt struct {
	by          core.HostID
	fingerprint core.Fingerprint
	at          UpstreamStart
}

// addOpen adds the open attempts to a report.
func (q *quarantine) addOpen(all []Suspect) []Suspect {
	open, count := map[core.Fingerprint][]Crash{}, 0
	for _, w := range q.open.sorted() {
		start := w.target.Start()
		for _, a := range w.attempts {
			order := max(1, a.order)
			if s := q.suspects[a.fingerprint]; s != nil && a.order == 0 {
				order = s.orderOf(a.sentAt, start)
			}
			list := open[a.fingerprint]
			if at := slices.IndexFunc(list, func(c Crash) bool { return c.UpstreamStart == start }); at >= 0 {
				list[at].Order = max(list[at].Order, order)
			} else if count < maxPublishedOpen {
				count++
				open[a.fingerprint] = append(list, Crash{start, order})
			}
		}
	}
	for i, suspect := range all {
		all[i].Open = open[suspect.Fingerprint]
		delete(open, suspect.Fingerprint)
	}
	for fingerprint, crashes := range open {
		all = append(all, Suspect{Fingerprint: fingerprint, Open: crashes})
	}
	return all
}

// adoptOpen takes over the open attempts of hosts that stop, and those of an earlier process
// of this host. The registry shows whether their upstreams crash.
func (e *Engine) adoptOpen(now time.Time, byHost map[core.HostID][]Suspect) {
	q := e.quarantine
	for _, by := range slices.Sorted(maps.Keys(byHost)) {
		if by == e.options.Self && q.stopping {
			continue
		}
		for _, suspect := range byHost[by] {
			for _, crash := range suspect.Open {
				key := adoptedAttempt{by, suspect.Fingerprint, crash.UpstreamStart}
				u := e.directory.byID[crash.ID]
				if q.adopted[key] || u == nil || u.Started != crash.Started || len(q.adopted) >= maxAdopted {
					continue
				}
				q.adopted[key] = true
				e.keepLossOpen(now, u.Upstream, openAttempt{loss: loss{
					fingerprint: suspect.Fingerprint, parts: 1, sentAt: now, at: now, runsUntil: now.Add(adoptedRun), order: crash.Order,
				}}, false)
			}
		}
	}
	present := func(key adoptedAttempt) bool {
		return slices.ContainsFunc(byHost[key.by], func(s Suspect) bool { return s.Fingerprint == key.fingerprint && len(s.Open) > 0 })
	}
	maps.DeleteFunc(q.adopted, func(key adoptedAttempt, _ bool) bool { return !present(key) })
}
