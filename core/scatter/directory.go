package scatter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

const (
	// entryGrace is how long an upstream without an entry is kept after the
	// registry has recovered from an outage. Running upstreams register again within
	// 2 s.
	entryGrace = 2300 * time.Millisecond
	// massRemovalShare is the share of all entries above which removals within a
	// second are attributed to entries that expired while the registry was
	// unavailable, not to upstreams that stopped.
	massRemovalShare = 0.3
	// initialBackoff is the backoff of an upstream after a connection failure. It
	// doubles with each further one, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// probeInterval is the minimum time between two requests to an upstream in
	// backoff, which are sent only when no other upstream is available.
	probeInterval = 50 * time.Millisecond
	// maxConsecutiveLosses is how many lost answers in a row put an upstream in
	// backoff.
	maxConsecutiveLosses = 3
)

// upstream is the state that this host keeps of one upstream.
type upstream struct {
	Upstream
	// missingSince is when the entry was found missing; zero if it is present.
	missingSince time.Time
	removed      bool
	// withdrawnAt is when the entry was removed while the registry listed all
	// upstreams; zero if it is present or has been replaced.
	withdrawnAt time.Time
	// leaving, withheldUntil and limit come from the upstream's own notices.
	leaving       bool
	withheldUntil time.Time
	limit         limitState
	coldUntil     time.Time
	nextCold      time.Time // earliest next send while cold

	running []*attempt // in the order in which they were started
	// window is the maximum number of requests that this host has in flight at
	// the upstream. It shrinks when the upstream sheds requests.
	window float64
	// capacity is nil unless the capacity of upstreams is learned.
	capacity *capacity

	slowness          float64 // EWMA of the latency divided by the usual latency
	failureShare      float64 // EWMA of the share of failed answers
	observedAt        time.Time
	consecutiveLosses int
	backoffs          int
	backoffUntil      time.Time
	probedAt          time.Time // last request sent during a backoff
	// otherInstances counts the answers of another upstream at its address. Until
	// otherInstanceUntil it gets no request, not even one that probes it.
	otherInstances     int
	otherInstanceUntil time.Time
	// tieBreak is a small cost that orders upstreams of equal cost differently on
	// each host.
	tieBreak float64
}

// directory holds the upstreams by ID and by service.
type directory struct {
	byID       map[core.UpstreamID]*upstream
	byService  map[core.ServiceID][]*upstream // sorted by ID
	byAddress  map[string]*upstream           // the newest entry of each address
	domainsOut map[core.DomainID]bool
	self       core.HostID
	domain     core.DomainID
	hosts      []core.HostID // the gatherers
	// hostCount is the number of registered hosts, assumed until it is known.
	// place is the index of this host among them, or hostCount if it is not
	// registered.
	hostCount, place int
	// recentRemovals counts the entries that were removed since removalsSince
	// without having been drained.
	recentRemovals int
	removalsSince  time.Time
	// learnsCapacity enables the learned capacity of upstreams.
	learnsCapacity bool
	capacityStats  CapacityStats
	beliefLog      beliefLog
	reachable      bool
	reachableAt    time.Time // when it was last reachable
	listed         bool
	graceEnds      time.Time
	// earlierGrace is when the grace period ends that had begun before the registry
	// became unreachable.
	earlierGrace time.Time
	pendingGrace []*upstream
	notices      *Notices
	restored     restoredEntries
	// detached are the starts without an entry whose state still bounds sends to them.
	detached protections[noticeKey, *upstream]
	// replaced is true while other hosts may have taken over this host's share of the
	// rate of cold upstreams, since it does not reach upstreams or is registered so.
	// It sends nothing to cold upstreams then and until coldHoldUntil.
	replaced      bool
	coldHoldUntil time.Time
	versionUse    func(*upstream) versionUse // nil if versions are ignored
}

// rankSettleTime is how long after a change of its record a host may assume that
// the others do not know of it.
const rankSettleTime = time.Second

func newDirectory(self core.HostID, domain core.DomainID, assumedHosts int) *directory {
	return &directory{
		hostCount: assumedHosts,
		place:     assumedHosts,

		byID:      map[core.UpstreamID]*upstream{},
		byService: map[core.ServiceID][]*upstream{},
		byAddress: map[string]*upstream{},
		self:      self,
		domain:    domain,
		reachable: true,
		notices:   NewNotices(),
		detached:  newProtections[noticeKey, *upstream](),
	}
}

// put adds or updates an entry. It returns the decision to log, if any.
func (d *directory) put(now time.Time, entry Upstream) Decision {
	d.restored.recordEntry(entry)
	u := d.byID[entry.ID]
	if u != nil && (u.Started != entry.Started || u.Address != entry.Address || u.Service != entry.Service) {
		d.drop(now, u)
		u = nil
	}
	if u == nil {
		u = d.attach(now, entry)
		d.byID[entry.ID] = u
		d.byAddress[entry.Address] = u
		list := d.byService[entry.Service]
		at, _ := slices.BinarySearchFunc(list, u, byID)
		d.byService[entry.Service] = slices.Insert(list, at, u)
		d.setCold(u, now, entry)
		return DecisionUpstreamJoined
	}
	decision := Decision("")
	if entry.Draining && !u.Draining {
		decision = DecisionUpstreamDraining
	}
	u.missingSince = time.Time{}
	d.setCold(u, now, entry)
	u.Upstream = entry
	return decision
}

// attach returns the state of an upstream that has no entry yet. A start that had one shortly
// before continues with its state.
func (d *directory) attach(now time.Time, entry Upstream) *upstream {
	known := d.notices.Lookup(now, entry)
	u, back := d.detached.take(noticeKeyOf(entry))
	if back = back && u.Service == entry.Service; !back {
		u = &upstream{slowness: 1, window: initialWindow, tieBreak: float64(rendezvous(d.self, entry.ID)%1024) * 1e-6}
		if d.learnsCapacity {
			u.capacity = newCapacity()
		}
	}
	u.Upstream = entry
	u.removed, u.missingSince, u.withdrawnAt = false, time.Time{}, time.Time{}
	u.leaving, u.withheldUntil = known.Leaving, now.Add(known.RetryAfter)
	if back && u.limit.Stated && known.Limit.Stated {
		u.limit.RateLimit = known.Limit
		d.updateLimit(now, u, false)
	} else {
		u.limit = limitState{RateLimit: known.Limit, since: now, logged: known.Limit.PerSecond}
		d.updateLimit(now, u, true)
	}
	return u
}

// setCold records until when the upstream stays cold.
func (d *directory) setCold(u *upstream, now time.Time, entry Upstream) {
	if entry.ColdFor > 0 {
		u.coldUntil = now.Add(entry.ColdFor)
	}
}

func byID(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) }

// drop removes an upstream that has left the registry.
func (d *directory) drop(now time.Time, u *upstream) {
	d.restored.recordRemoval(now, u.Start())
	d.detach(now, u)
}

// detach removes an upstream. Attempts that run there continue.
func (d *directory) detach(now time.Time, u *upstream) {
	u.removed = true
	d.detached.add(now, noticeKeyOf(u.Upstream), u)
	delete(d.byID, u.ID)
	if d.byAddress[u.Address] == u {
		delete(d.byAddress, u.Address)
	}
	list := d.byService[u.Service]
	if at, found := slices.BinarySearchFunc(list, u, byID); found {
		d.byService[u.Service] = slices.Delete(list, at, at+1)
	}
	if len(d.byService[u.Service]) == 0 {
		delete(d.byService, u.Service)
	}
}

// remove handles the removal of an entry. If the entry may have expired although
// the upstream still runs, the upstream is kept for the grace period.
func (d *directory) remove(now time.Time, id core.UpstreamID) (*upstream, Decision) {
	delete(d.restored.held, id)
	u := d.byID[id]
	if u == nil {
		return nil, ""
	}
	if !u.Draining {
		d.countRemoval(now)
	}
	if !u.Draining && (d.mayHaveExpired(now) || d.isMassRemoval(now)) {
		d.keepForGrace(now, u)
		return u, DecisionUpstreamKept
	}
	u.withdrawnAt = now
	d.drop(now, u)
	return u, DecisionUpstreamRemoved
}

// mayHaveExpired reports whether entries may have expired while their upstreams
// still run: the registry may be unavailable or has just recovered.
func (d *directory) mayHaveExpired(now time.Time) bool {
	return !d.reachable || now.Before(d.graceEnds)
}

// countRemoval counts the removal of an entry that was not drained.
func (d *directory) countRemoval(now time.Time) {
	if now.Sub(d.removalsSince) > time.Second {
		d.recentRemovals, d.removalsSince = 0, now
	}
	d.recentRemovals++
}

// isMassRemoval reports whether too many removals have happened within a second.
func (d *directory) isMassRemoval(now time.Time) bool {
	return now.Sub(d.removalsSince) <= time.Second && float64(d.recentRemovals) > max(2, massRemovalShare*float64(len(d.byID)))
}

func (d *directory) keepForGrace(now time.Time, u *upstream) {
	if u.missingSince.IsZero() {
		u.missingSince = now
		d.pendingGrace = append(d.pendingGrace, u)
	}
	if d.graceEnds.Before(now) {
		d.graceEnds = now.Add(entryGrace)
	}
}

// list replaces all entries. Upstreams without an entry are removed, or kept for
// the grace period if their entries may have expired. Restored is true if the
// registry was restored from an older copy.
func (d *directory) list(now time.Time, entries []Upstream, restored bool, note func(*upstream, Decision)) {
	if restored {
		d.graceEnds = now.Add(entryGrace)
		d.restored.begin(now)
	}
	present := make(map[core.UpstreamID]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		if d.isOutdated(now, entry) {
			d.restored.held[entry.ID] = entry
			continue
		}
		if decision := d.put(now, entry); decision != "" {
			note(d.byID[entry.ID], decision)
		}
	}
	for _, u := range d.sorted() {
		if present[u.ID] {
			continue
		}
		if u, decision := d.remove(now, u.ID); u != nil {
			note(u, decision)
		}
	}
	d.listed = true
}

func (d *directory) sorted() []*upstream {
	all := make([]*upstream, 0, len(d.byID))
	for _, u := range d.byID {
		all = append(all, u)
	}
	slices.SortFunc(all, byID)
	return all
}

// setReachable records whether the registry can be reached. Entries that are missing
// once it can be reached again have expired if it may have failed; otherwise their
// upstreams are gone.
func (d *directory) setReachable(now time.Time, reachable, mayHaveFailed bool) {
	switch {
	case reachable == d.reachable:
	case !reachable:
		d.reachableAt, d.earlierGrace = now, d.graceEnds
	case mayHaveFailed:
		d.graceEnds = now.Add(entryGrace)
	case !d.isMassRemoval(now) && !d.restored.active(now):
		d.graceEnds = d.earlierGrace
	}
	d.reachable = reachable
}

// stale reports whether the registry has been unreachable for so long that other
// hosts may have newer entries.
func (d *directory) stale(now time.Time) bool {
	return d.unreachableFor(now) > staleAfter
}

// unreachableFor returns for how long the registry has been unreachable.
func (d *directory) unreachableFor(now time.Time) time.Duration {
	if d.reachable {
		return 0
	}
	return now.Sub(d.reachableAt)
}

// expire removes the upstreams whose entries are still missing when the grace
// period ends.
func (d *directory) expire(now time.Time, note func(*upstream, Decision)) {
	if len(d.pendingGrace) == 0 || !d.reachable || now.Before(d.graceEnds) {
		return
	}
	for _, u := range d.pendingGrace {
		if !u.missingSince.IsZero() && !u.removed {
			d.drop(now, u)
			note(u, DecisionUpstreamRemoved)
		}
	}
	d.pendingGrace = nil
}

// pickConstraints restricts which upstream may be picked.
type pickConstraints struct {
	service Service
	// allowed reports whether the route and the roll-out allow an upstream.
	allowed func(*upstream) bool
	// reachable reports whether the request may be sent to a failure domain now.
	reachable func(core.DomainID) bool
	// only is the one upstream that may be picked; nil allows any.
	only  *upstream
	tried []*upstream
	// connections bounds the requests of this host in flight at one upstream.
	connections connectionShares
	// waitsUntil is until when the request can wait for an upstream that has
	// requested a backoff.
	waitsUntil time.Time
	// avoidStalled makes the request wait for an upstream that is at its limit
	// if all upstreams with free capacity are stalled.
	avoidStalled bool
	// mayTry allows an upstream that was slow to be tried again.
	mayTry bool
}

// pick returns the upstream of a service with the lowest cost for a new request,
// or nil. Busy is true if an eligible upstream is at its limit.
//
// The cost is based on this host's own requests, which reveal a stall after about
// minStall. Single upstreams that stall or become slow are thus avoided.
func (d *directory) pick(now time.Time, l pickConstraints) (best *upstream, busy bool) {
	var inBackoff *upstream
	bestCost := math.Inf(1)
	busyNotStalled, stalled := false, false
	for _, u := range d.byService[l.service.ID] {
		if !d.acceptsWork(u) || d.superseded(now, u) || !l.allowed(u) || slices.Contains(l.tried, u) {
			continue
		}
		if now.Before(u.withheldUntil) {
			busy = busy || u.withheldUntil.Before(l.waitsUntil)
			continue
		}
		if at := u.limit.allowedAt(); now.Before(at) {
			busy = busy || at.Before(l.waitsUntil)
			continue
		}
		if !l.reachable(u.Domain) || l.only != nil && u != l.only {
			continue
		}
		if now.Before(u.backoffUntil) {
			if now.Sub(u.probedAt) >= probeInterval && (inBackoff == nil || u.backoffUntil.Before(inBackoff.backoffUntil)) {
				inBackoff = u
			}
			continue
		}
		if len(u.running) >= min(l.connections.maxInFlight(u, d.domain), int(u.window)) || !d.coldAllows(now, u, l.service) || !d.capacityAllows(u) {
			busy = true
			busyNotStalled = busyNotStalled || !u.stalled(now)
			continue
		}
		if l.mayTry && u.capacity.wantsTrial(now, len(u.running)) {
			d.capacityStats.Trials++
			return u, false
		}
		if cost := d.cost(now, u); cost < bestCost {
			best, bestCost, stalled = u, cost, u.stalled(now)
		}
	}
	if l.avoidStalled && busyNotStalled && stalled {
		return nil, true
	}
	if best == nil && !busy && inBackoff != nil {
		// No other upstream is available, so the request itself probes whether
		// this one has recovered.
		inBackoff.probedAt = now
		return inBackoff, false
	}
	return best, busy
}

// backOff blocks new requests for a period that doubles each time.
func (u *upstream) backOff(now time.Time) {
	wait := min(maxBackoff, initialBackoff<<min(u.backoffs, 8))
	u.backoffs++
	u.backoffUntil = now.Add(wait)
}

func (u *upstream) resetBackoff() {
	u.backoffs, u.consecutiveLosses = 0, 0
	u.backoffUntil = time.Time{}
}

// forgetEstimates discards what this host has concluded from answers that did not
// come.
func (u *upstream) forgetEstimates() {
	u.resetBackoff()
	u.slowness, u.failureShare = 1, 0
	u.capacity.forget()
}

// coldAllows reports whether this host may send an upstream one more request as
// far as its cold rate is concerned. A few hosts, chosen by rendezvous hashing,
// share the rate of a cold upstream; the others send it nothing.
func (d *directory) coldAllows(now time.Time, u *upstream, s Service) bool {
	if s.ColdRate <= 0 || !now.Before(u.coldUntil) {
		return true
	}
	if d.replaced || now.Before(d.coldHoldUntil) {
		return false
	}
	senders := max(1, min(len(d.hosts), int(coldSenders+coldSenderShare*s.ColdRate)))
	if d.rank(u) >= senders {
		return false
	}
	return !now.Before(u.nextCold)
}

// The number of hosts that send to a cold upstream is coldSenders plus
// coldSenderShare of its rate. Each of them may be one request ahead of its
// share of the rate; with this number, all together stay within the overshoot
// that a cold upstream tolerates.
const (
	coldSenders     = 1.0
	coldSenderShare = 0.3
)

// recordColdSend sets the earliest time of this host's next request to a cold
// upstream.
func (d *directory) recordColdSend(now time.Time, u *upstream, s Service) {
	if s.ColdRate <= 0 || !now.Before(u.coldUntil) {
		return
	}
	senders := max(1, min(len(d.hosts), int(coldSenders+coldSenderShare*s.ColdRate)))
	u.nextCold = now.Add(time.Duration(float64(senders) / s.ColdRate * float64(time.Second)))
}

// rank returns the rank of this host among the gatherers for one upstream, by
// rendezvous hashing.
func (d *directory) rank(u *upstream) int {
	mine, rank := rendezvous(d.self, u.ID), 0
	for _, h := range d.hosts {
		if h != d.self && rendezvous(h, u.ID) < mine {
			rank++
		}
	}
	return rank
}

func rendezvous(h core.HostID, id core.UpstreamID) uint64 {
	return xxhash.Sum64String(string(h) + "\x00" + string(id))
}
