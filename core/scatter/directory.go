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
	// registry came back: upstreams that live register again within 2 s.
	entryGrace = 2300 * time.Millisecond
	// massRemovalShare of all entries that vanish together are taken for entries
	// that lapsed while the registry was away, not for upstreams that ended.
	massRemovalShare = 0.3
	// initialBackoff is how long an upstream rests after a connection failed; it
	// doubles up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// wrongInstanceBackoff is how long an address rests at which another
	// upstream answered.
	wrongInstanceBackoff = 5 * time.Second
	// probeInterval is the least time between two requests to an upstream that
	// rests, when no other is left.
	probeInterval = 50 * time.Millisecond
	// initialWindow is the window of an upstream that did not answer yet;
	// windowDecrease is what a shed request leaves of a window.
	initialWindow  = 1
	windowDecrease = 0.7
	// maxConsecutiveLosses lost answers in a row make an upstream rest.
	maxConsecutiveLosses = 3
	// slownessGain is the weight of one observation in the estimates.
	slownessGain = 0.25
	// slownessHalfLife is how fast an estimate without observations fades, so
	// that an upstream that was slow is tried again.
	slownessHalfLife = 1500 * time.Millisecond
	// maxSlowness bounds the effect of one observation.
	maxSlowness = 20.0
	// stallFactor times a route's usual time without an answer, and at least
	// minStall, make an upstream count as standing still.
	stallFactor = 3
	minStall    = 30 * time.Millisecond
	// stalledCost is added to the cost of an upstream that stands still, in
	// usual times.
	stalledCost = 4.0
	// failureCost weighs the share of failed answers against time.
	failureCost = 8.0
	// remoteCost weighs traffic to another failure domain against time.
	remoteCost = 1.8
)

// upstream is what this host believes of one upstream.
type upstream struct {
	Upstream
	// missingSince is when the entry was found missing; zero while it stands.
	missingSince time.Time
	removed      bool
	// leaving and withheldUntil are what the upstream said of itself.
	leaving       bool
	withheldUntil time.Time
	coldUntil     time.Time
	nextCold      time.Time // earliest next send while cold

	running []*attempt // in order of their start
	// window is how many requests this host has there at once; an upstream
	// that sheds narrows it.
	window float64

	slowness          float64 // latency over the usual latency
	failureShare      float64 // share of failed answers
	observedAt        time.Time
	consecutiveLosses int
	backoffs          int
	backoffUntil      time.Time
	probedAt          time.Time // last request sent while resting
	// tieBreak orders upstreams of equal cost differently on each host.
	tieBreak float64
}

// directory holds the upstreams by ID and by service.
type directory struct {
	byID       map[core.UpstreamID]*upstream
	byService  map[core.ServiceID][]*upstream // sorted by ID
	domainsOut map[core.DomainID]bool
	self       core.HostID
	domain     core.DomainID
	hosts      []core.HostID
	// recentRemovals counts the entries that were removed without having drained
	// since removalsSince.
	recentRemovals int
	removalsSince  time.Time
	reachable      bool
	reachableAt    time.Time // when it was last reachable
	listed         bool
	graceEnds      time.Time
	pendingGrace   []*upstream
	notices        *Notices
}

func newDirectory(self core.HostID, domain core.DomainID) *directory {
	return &directory{
		byID:      map[core.UpstreamID]*upstream{},
		byService: map[core.ServiceID][]*upstream{},
		self:      self,
		domain:    domain,
		reachable: true,
		notices:   NewNotices(),
	}
}

// put takes an entry; it returns the decision to log, or none.
func (d *directory) put(now time.Time, entry Upstream) Decision {
	u := d.byID[entry.ID]
	if u != nil && (u.Started != entry.Started || u.Address != entry.Address || u.Service != entry.Service) {
		d.drop(u)
		u = nil
	}
	if u == nil {
		u = &upstream{Upstream: entry, slowness: 1, window: initialWindow, tieBreak: float64(rendezvous(d.self, entry.ID)%1024) * 1e-6}
		known := d.notices.Lookup(now, entry)
		u.leaving, u.withheldUntil = known.Leaving, now.Add(known.RetryAfter)
		d.byID[entry.ID] = u
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

// setCold notes how long the upstream stays cold.
func (d *directory) setCold(u *upstream, now time.Time, entry Upstream) {
	if entry.ColdFor > 0 {
		u.coldUntil = now.Add(entry.ColdFor)
	}
}

func byID(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) }

// drop forgets an upstream; attempts that run there end as they do.
func (d *directory) drop(u *upstream) {
	u.removed = true
	delete(d.byID, u.ID)
	list := d.byService[u.Service]
	if at, found := slices.BinarySearchFunc(list, u, byID); found {
		d.byService[u.Service] = slices.Delete(list, at, at+1)
	}
	if len(d.byService[u.Service]) == 0 {
		delete(d.byService, u.Service)
	}
}

// remove takes the removal of an entry. While entries may have lapsed without
// their upstreams, the upstream is kept for the grace period.
func (d *directory) remove(now time.Time, id core.UpstreamID) (*upstream, Decision) {
	u := d.byID[id]
	if u == nil {
		return nil, ""
	}
	if !u.Draining && (d.mayHaveLapsed(now) || d.isMassRemoval(now)) {
		d.keepForGrace(now, u)
		return u, DecisionUpstreamKept
	}
	d.drop(u)
	return u, DecisionUpstreamRemoved
}

// mayHaveLapsed says that the registry is away or came back just now.
func (d *directory) mayHaveLapsed(now time.Time) bool {
	return !d.reachable || now.Before(d.graceEnds)
}

// isMassRemoval counts a removal and says whether too many came together.
func (d *directory) isMassRemoval(now time.Time) bool {
	if now.Sub(d.removalsSince) > time.Second {
		d.recentRemovals, d.removalsSince = 0, now
	}
	d.recentRemovals++
	return float64(d.recentRemovals) > max(2, massRemovalShare*float64(len(d.byID)))
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

// list takes the whole registry. Upstreams without an entry are removed, or
// missed if their entries may have lapsed.
func (d *directory) list(now time.Time, entries []Upstream, note func(*upstream, Decision)) {
	present := make(map[core.UpstreamID]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
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

// setReachable notes that the registry stopped or began to answer.
func (d *directory) setReachable(now time.Time, reachable bool) {
	if reachable && !d.reachable {
		d.graceEnds = now.Add(entryGrace)
	}
	if !reachable && d.reachable {
		d.reachableAt = now
	}
	d.reachable = reachable
}

// stale says that the registry has been away for so long that others may know
// better.
func (d *directory) stale(now time.Time) bool {
	return !d.reachable && now.Sub(d.reachableAt) > staleAfter
}

// expire removes the upstreams whose entries did not come back in time.
func (d *directory) expire(now time.Time, note func(*upstream, Decision)) {
	if len(d.pendingGrace) == 0 || !d.reachable || now.Before(d.graceEnds) {
		return
	}
	for _, u := range d.pendingGrace {
		if !u.missingSince.IsZero() && !u.removed {
			d.drop(u)
			note(u, DecisionUpstreamRemoved)
		}
	}
	d.pendingGrace = nil
}

// pickConstraints is what one pick has to keep to.
type pickConstraints struct {
	service Service
	// allowed says which failure domains the route allows.
	allowed func(core.DomainID) bool
	// reachable says which failure domains the request may be sent to now.
	reachable func(core.DomainID) bool
	// only is the one upstream that may be picked; nil is any.
	only  *upstream
	tried []*upstream
	// connections bounds the requests that this host may have at one upstream.
	connections connectionShares
	// waitsUntil is how long the request can wait for an upstream that wants
	// nothing for a while.
	waitsUntil time.Time
	// avoidStalled requests wait for an upstream at its limit where the only ones
	// with room stand still.
	avoidStalled bool
}

// acceptsWork says whether an upstream may be sent new work.
func (d *directory) acceptsWork(u *upstream) bool {
	return !u.Draining && !u.leaving && !d.domainsOut[u.Domain]
}

// pick returns the upstream of a service with the least expected time for a
// new request, or nil. Busy is true when an upstream could take it but is at
// its limit.
//
// It answers upstreams that stand still or turn slow one by one: the choice
// rests on this host's own requests, which show a pause within minStall.
func (d *directory) pick(now time.Time, l pickConstraints) (best *upstream, busy bool) {
	var resting *upstream
	bestCost := math.Inf(1)
	soundFull, stalled := false, false
	for _, u := range d.byService[l.service.ID] {
		if !d.acceptsWork(u) || !l.allowed(u.Domain) || slices.Contains(l.tried, u) {
			continue
		}
		if now.Before(u.withheldUntil) {
			busy = busy || u.withheldUntil.Before(l.waitsUntil)
			continue
		}
		if !l.reachable(u.Domain) || l.only != nil && u != l.only {
			continue
		}
		if now.Before(u.backoffUntil) {
			if now.Sub(u.probedAt) >= probeInterval && (resting == nil || u.backoffUntil.Before(resting.backoffUntil)) {
				resting = u
			}
			continue
		}
		if len(u.running) >= min(l.connections.inFlight(u, d.domain), int(u.window)) || !d.coldAllows(now, u, l.service) {
			busy = true
			soundFull = soundFull || !u.stalled(now)
			continue
		}
		if cost := d.cost(now, u); cost < bestCost {
			best, bestCost, stalled = u, cost, u.stalled(now)
		}
	}
	if l.avoidStalled && soundFull && stalled {
		return nil, true
	}
	if best == nil && !busy && resting != nil {
		// Nothing better is left: the request itself finds out whether the
		// upstream is back.
		resting.probedAt = now
		return resting, false
	}
	return best, busy
}

// shrink narrows the window after the upstream shed a request.
//
// It answers a service with too few upstreams left: requests then wait here, in
// order of priority, instead of being shed there and sent again.
func (u *upstream) shrink() {
	u.window = max(1, windowDecrease*min(u.window, float64(len(u.running)+1)))
}

// grow widens the window after an answer, by about one each time the whole
// window was answered.
func (u *upstream) grow(limit int) {
	u.window = min(max(u.window+1/u.window, 1), max(1, float64(limit)))
}

// cost is the expected time of a new request in usual times.
func (d *directory) cost(now time.Time, u *upstream) float64 {
	slots := float64(max(1, u.Slots))
	cost := u.slownessAt(now) * (1 + float64(len(u.running))/slots)
	cost += failureCost * u.failureShare * u.decay(now)
	if u.stalled(now) {
		cost += stalledCost
	}
	if u.Domain != d.domain {
		cost *= remoteCost
	}
	return cost + u.tieBreak
}

// stalled says that a running request is overdue by the usual time of its own
// route: a long request of a slow route does not make an upstream stand still.
func (u *upstream) stalled(now time.Time) bool {
	return slices.ContainsFunc(u.running, func(a *attempt) bool { return now.After(a.overdueAt) })
}

func (u *upstream) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(u.observedAt)) / float64(slownessHalfLife))
}

func (u *upstream) slownessAt(now time.Time) float64 {
	return 1 + (u.slowness-1)*u.decay(now)
}

// observe takes the latency of an answer, as a multiple of the usual one.
func (u *upstream) observe(now time.Time, ratio float64, failed bool) {
	current, failing := u.slownessAt(now), u.failureShare*u.decay(now)
	u.slowness = current + slownessGain*(min(ratio, maxSlowness)-current)
	u.failureShare = failing * (1 - slownessGain)
	if failed {
		u.failureShare += slownessGain
	}
	u.observedAt = now
}

// backOff keeps new requests away for a while that doubles each time.
func (u *upstream) backOff(now time.Time) {
	wait := min(maxBackoff, initialBackoff<<min(u.backoffs, 8))
	u.backoffs++
	u.backoffUntil = now.Add(wait)
}

func (u *upstream) resetBackoff() {
	u.backoffs, u.consecutiveLosses = 0, 0
	u.backoffUntil = time.Time{}
}

// coldAllows says whether a cold upstream may be sent one more request by this
// host. A few hosts, chosen by hash, share what a cold upstream bears; the
// others leave it alone.
func (d *directory) coldAllows(now time.Time, u *upstream, s Service) bool {
	if s.ColdRate <= 0 || !now.Before(u.coldUntil) {
		return true
	}
	senders := max(1, min(len(d.hosts), int(coldSenders+coldSenderShare*s.ColdRate)))
	if d.rank(u) >= senders {
		return false
	}
	return !now.Before(u.nextCold)
}

// Each sender may be one request ahead of its rate: so many of them stay
// within the overshoot that a cold upstream bears.
const (
	coldSenders     = 1.0
	coldSenderShare = 0.3
)

// recordColdSend delays this host's next request to a cold upstream.
func (d *directory) recordColdSend(now time.Time, u *upstream, s Service) {
	if s.ColdRate <= 0 || !now.Before(u.coldUntil) {
		return
	}
	senders := max(1, min(len(d.hosts), int(coldSenders+coldSenderShare*s.ColdRate)))
	u.nextCold = now.Add(time.Duration(float64(senders) / s.ColdRate * float64(time.Second)))
}

// rank is this host's place among all hosts for one upstream, by rendezvous
// hashing.
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
