package scatter

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// Options configures an Engine.
type Options struct {
	Self   core.HostID
	Domain core.DomainID
	// Regions maps each failure domain to its region.
	Regions map[core.DomainID]RegionID
	Extra   ExtraLimits
	// AnswerMargin is how long before a route's target an answer is sent. It
	// covers the network time from and to the caller.
	AnswerMargin time.Duration
	// AssumedHosts is the number of hosts that are assumed to share the budgets
	// until the list of hosts is known.
	AssumedHosts int
	// Relay allows the parts of a gather to be sent through hosts in the
	// upstreams' failure domains.
	Relay bool
	// FirstStart is true when no host of the tier has run before.
	FirstStart bool
	// Revocation bounds how long unconfirmed keys are accepted.
	Revocation Revocation
	// LearnCapacity bounds and places requests by the learned capacity of upstreams.
	LearnCapacity bool
	// Quota bounds the requests beyond the quotas of teams.
	Quota   QuotaLimits
	Rollout RolloutLimits
	// Random returns a number in [0, 1).
	Random func() float64
}

// Engine is the decision core of one host. It is not safe for concurrent use.
type Engine struct {
	options Options
	// config is the version in force, nil for none. newestVersion is the newest one that
	// has been in force.
	config        *Config
	newestVersion uint64
	lapsed        lapsedFeeds
	reported      LimitsReported // the newest
	// seenVersion is the newest version in force at a host that answered a handover.
	seenVersion uint64
	directory   *directory
	fleet       *fleet
	hosts       retained[core.HostID, Host]
	domainsOut  retained[core.DomainID, bool]
	handovers   map[core.CallID]*handover
	// aloneUntil is until when this host stays ready to answer requests itself,
	// after no other host accepted one.
	aloneUntil         time.Time
	calls              map[core.CallID]*call
	attempts           map[uint64]*attempt
	sequence           uint64
	startedAt          time.Time // of the first step
	timers             schedule.Timers[timerFunc]
	budgets            protections[core.ServiceID, *extraBudget]
	latencies          map[latencyKey]*latencyEstimate
	queues             map[core.ServiceID]*queue
	quarantine         *quarantine
	admission          admission
	fairShares         fairShares
	domains            domainMonitor
	domainWatchStarted bool
	connectivity       connectivity
	stopsAt            time.Time // zero unless this host stops
	// targetSince is when this host stopped being an entry host; the zero time if it
	// has never been one.
	targetSince time.Time
	allowance   laggingShare
	// unservedShare is a moving average of the share of requests that were not
	// served; withdrawn is true while this host accepts no callers.
	unservedShare float64
	withdrawn     bool
	splits        map[*Route]*weightedRoundRobin
	quotas        *quotas
	rollouts      *rollouts // nil if versions are ignored
	out           *Actions
	stats         Stats
}

// timerFunc is called when a timer is due.
type timerFunc func(now time.Time)

// call is one caller's request.
type call struct {
	id      core.CallID
	request RequestArrived
	route   *Route
	team    *Team // nil if the caller is not identified
	config  *Config
	parts   []*part
	// deadline is when the call ends without an answer: when its caller stops
	// waiting, at wanted, or when this host stops.
	deadline, wanted time.Time
	// answerAt is when a gather is answered with the parts received so far.
	answerAt time.Time
	extras   int
	// expectedQueueWait is the expected time until the queues have room for a
	// call that they refuse.
	expectedQueueWait time.Duration
	// share is that of the call's team; nil if the configuration has no teams.
	share *teamShare
	// queued is true if the parts were expected to wait in the queues.
	queued bool
	done   bool
	// probe is the part that is sent first if the request may crash upstreams; nil if
	// all parts are sent together.
	probe *part
	// relays are the hosts that relay parts, by failure domain. It is set only
	// while all parts are being sent.
	relays map[core.DomainID]*peer
	timers []*schedule.Timer[timerFunc]
	// failure is the payload of the last failure answer of an upstream, which is
	// passed on to the caller.
	failure any
	quota   quotaHold
}

// part is the request of a call to one service.
type part struct {
	call      *call
	service   core.ServiceID
	tried     []*upstream
	attempts  []*attempt // those that have reached an upstream or still may
	sends     int        // attempts started
	pending   int        // attempts in flight
	payload   any
	answered  bool // an answer was received
	exhausted bool // no further attempt will be made
	dropped   bool // not sent, since it was expected after the gather's target
	waiting   bool // for an upstream with free capacity
	executed  bool // an attempt has run or may have
}

// attempt is one send of a part.
type attempt struct {
	id     uint64
	part   *part
	to     *upstream
	sentAt time.Time
	// overdueAt is when the upstream counts as stalled if it has not answered;
	// it depends on the route's usual latency.
	overdueAt time.Time
	// trial is true if the last answers of the upstream were slow.
	trial bool
	// via is the host that relays the attempt; nil for a direct send.
	via    *peer
	extra  bool
	notRun bool // whether it surely did not run; set when the attempt ends
	// rollout is how the attempt counts in a roll-out; nil if there is none.
	rollout *rolloutSend
	// cancelled is true if this host ended the attempt, whose outcome says nothing then.
	cancelled bool
}

// New returns an Engine without a configuration.
func New(options Options) *Engine {
	e := &Engine{
		options:    options,
		directory:  newDirectory(options.Self, options.Domain, options.AssumedHosts),
		fleet:      newFleet(options.Self, options.Domain),
		handovers:  map[core.CallID]*handover{},
		calls:      map[core.CallID]*call{},
		attempts:   map[uint64]*attempt{},
		budgets:    newProtections[core.ServiceID, *extraBudget](),
		latencies:  map[latencyKey]*latencyEstimate{},
		queues:     map[core.ServiceID]*queue{},
		quarantine: newQuarantine(options.Self),
		splits:     map[*Route]*weightedRoundRobin{},
		admission:  admission{share: initialAdmissionShare},

		connectivity: connectivity{failing: map[*upstream]time.Time{}},
	}
	e.directory.learnsCapacity = options.LearnCapacity
	e.quotas = e.newQuotas()
	e.useRollouts(newRollouts(options.Rollout))
	return e
}

// Unanswered returns the calls that have not been answered.
func (e *Engine) Unanswered() []core.CallID {
	return slices.AppendSeq(slices.Collect(maps.Keys(e.calls)), maps.Keys(e.handovers))
}

// Ready reports whether this host can send to upstreams: it has a configuration and has
// listed the upstreams, and has followed both since.
func (e *Engine) Ready() bool { return e.config != nil && e.directory.listed && !e.lapsed.any() }

// Serves reports whether callers' requests can be answered here or handed over.
func (e *Engine) Serves() bool {
	return e.Ready() || e.fleet.role != Gatherer && len(e.fleet.peers) > 0
}

// Withdrawn reports whether callers should use hosts of other failure domains.
func (e *Engine) Withdrawn() bool { return e.withdrawn }

// Limits returns the caller limits of the configuration in force. While there is none here,
// they are those of the host that this one follows, and none if it reports none.
func (e *Engine) Limits() (version uint64, limits CallerLimits) {
	if e.config == nil {
		return e.reported.Version, e.reported.Limits
	}
	return e.config.Version, e.config.Limits
}

// newestSeen returns the newest version that this host has seen in force, here or at another
// host.
func (e *Engine) newestSeen() uint64 { return max(e.newestVersion, e.reported.Version, e.seenVersion) }

// Version returns the configuration version in force, 0 for none.
func (e *Engine) Version() uint64 {
	if e.config == nil {
		return 0
	}
	return e.config.Version
}

// Running returns the number of calls in progress, including handovers.
func (e *Engine) Running() int { return len(e.calls) + len(e.handovers) }

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	stats := e.stats
	stats.Capacity = e.directory.capacityStats
	return stats
}

// Next returns when the earliest timer is due, or the zero time if there is none.
func (e *Engine) Next() time.Time { return e.timers.Next() }

// Step runs the timers that are due at now, then processes one event, and appends
// the resulting actions to out. Now must not decrease between calls.
func (e *Engine) Step(now time.Time, event Event, out *Actions) {
	e.out = out
	if e.startedAt.IsZero() {
		e.startedAt = now
	}
	for {
		fire, due := e.timers.Pop(now)
		if !due {
			break
		}
		fire(now)
	}
	e.lapsed.read(event)
	e.handle(now, event)
	e.refreshVersions(now, event)
}

func (e *Engine) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case RequestArrived:
		e.handleRequest(now, event)
	case AttemptEnded:
		e.handleReply(now, event)
	case CallerGone:
		e.callerGone(now, event.Call)
	case LimitsReported:
		if event.Version > e.reported.Version && event.Version >= e.newestVersion {
			e.reported = event
		}
	case FeedsLapsed:
		e.lapse(now)
	case ConfigSeen:
		e.setConfig(now, event.Config)
	case UpstreamsListed:
		e.directory.list(now, event.Upstreams, event.Restored, func(u *upstream, decision Decision) { e.noteListing(now, u, decision) })
		e.checkSuccessors(now)
		e.scheduleOpenScan(now)
		if e.connectivity.checkWhenListed {
			e.checkConnectivityOnce(now)
		}
		e.startGraceTimer(now)
		if event.Restored {
			e.timers.Add(e.directory.restored.until, func(now time.Time) { e.directory.acceptHeld(now, e.noteUpstream) })
		}
	case UpstreamSeen:
		if decision := e.directory.put(now, event.Upstream); decision != "" {
			e.noteUpstream(e.directory.byID[event.Upstream.ID], decision)
		}
		e.checkSuccessors(now)
	case UpstreamRemoved:
		if u, decision := e.directory.remove(now, event.ID); u != nil {
			e.noteListing(now, u, decision)
		}
		e.startGraceTimer(now)
	case DomainsOut:
		e.listDomainsOut(now, event)
	case HostsSeen:
		e.listHosts(now, event)
	case HandoverEnded:
		e.handleHandoverEnd(now, event)
	case HostAlive:
		e.heardFrom(now, event)
	case Followed:
		e.setFollowed(event.ByOthers)
	case HostsSilent:
		e.recordSilenceReport(now, event)
	case UpstreamChecked:
		if event.Round != 0 {
			e.handleConnectivityCheck(now, event)
		} else {
			e.handleCheck(now, event)
		}
	case SuspectsSeen:
		e.handleSuspects(now, event)
	case StoreReachable:
		e.setReachable(now, event)
	case Stopping:
		e.stopBy(now, event.Until)
	case LimitEnded:
		e.handleLimitEnd(now, event.LimitEnd)
	case QuotaGranted:
		e.quotas.granted(now, event)
	case QuotaAsked:
		e.answerQuota(now, event)
	case RolloutsSeen, RolloutRecordsSeen, RolloutStored, RolloutReported, RolloutReportTaken:
		e.handleRollout(now, event)
	case Tick:
	}
}

// setReachable records whether the registry can be reached.
func (e *Engine) setReachable(now time.Time, event StoreReachable) {
	e.directory.setReachable(now, event.Reachable, event.MayHaveFailed)
	e.startGraceTimer(now)
	detail := "not reachable"
	switch {
	case event.Reachable && event.MayHaveFailed:
		detail = "reachable, may have been unavailable"
	case event.Reachable:
		detail = "reachable"
	}
	e.note(Note{Decision: DecisionRegistryReachable, Version: e.Version(), Detail: detail})
}

// startGraceTimer schedules the removal of upstreams whose entries are still
// missing when the grace period ends.
func (e *Engine) startGraceTimer(now time.Time) {
	if len(e.directory.pendingGrace) == 0 || !e.directory.reachable {
		return
	}
	at := e.directory.graceEnds
	if at.Before(now) {
		at = now
	}
	e.timers.Add(at, func(now time.Time) { e.directory.expire(now, e.noteUpstream) })
}

// setConfig puts a newer version in force and ignores any other.
func (e *Engine) setConfig(now time.Time, c *Config) {
	if c.Version < e.newestVersion || e.config != nil && c.Version == e.config.Version {
		return
	}
	e.config, e.newestVersion = c, c.Version
	e.splits = map[*Route]*weightedRoundRobin{}
	e.budgets.release(now, func(id core.ServiceID) bool { return c.hasService(id) })
	for id, q := range e.queues {
		if !c.hasService(id) && q.running == 0 && len(q.parts) == 0 {
			delete(e.queues, id)
		}
	}
	e.setQuotas(now)
	e.note(Note{Decision: DecisionConfig, Version: c.Version})
}

// listDomainsOut applies the set of domains that are out of service. One that the
// store lost stays out while operators take it out again.
func (e *Engine) listDomainsOut(now time.Time, event DomainsOut) {
	e.setDomains(e.domainsOut.list(now, event.Domains, event.Restored))
	if event.Restored {
		e.timers.Add(e.domainsOut.until, func(now time.Time) { e.setDomains(e.domainsOut.inForce(now)) })
	}
}

func (e *Engine) setDomains(out map[core.DomainID]bool) {
	if maps.Equal(out, e.directory.domainsOut) {
		return
	}
	e.directory.domainsOut = out
	names := make([]string, 0, len(out))
	for id := range out {
		names = append(names, string(id))
	}
	slices.Sort(names)
	e.note(Note{Decision: DecisionDomains, Version: e.Version(), Detail: joinNames(names)})
}

// listHosts applies a list of the hosts. While hosts that the store lost register
// again, they keep their roles and shares.
func (e *Engine) listHosts(now time.Time, event HostsSeen) {
	listed := make(map[core.HostID]Host, len(event.Hosts))
	for _, h := range event.Hosts {
		listed[h.ID] = h
	}
	e.hosts.list(now, listed, event.Restored)
	e.applyHosts(now)
	if event.Restored {
		e.timers.Add(e.hosts.until, e.applyHosts)
	}
}

func (e *Engine) applyHosts(now time.Time) {
	e.setHosts(now, slices.Collect(maps.Values(e.hosts.inForce(now))))
}

func (e *Engine) setHosts(now time.Time, hosts []Host) {
	listedBefore, roleBefore, outBefore := len(e.fleet.ranked) > 0, e.fleet.role, e.fleet.selfPartitioned
	if !e.fleet.set(hosts) {
		return
	}
	if listedBefore && roleBefore != e.fleet.role {
		e.changeRole(now, roleBefore)
	}
	out := e.fleet.selfPartitioned
	if outBefore && !out {
		e.directory.coldHoldUntil = now.Add(rankSettleTime)
	}
	e.directory.replaced = out || e.connectivity.partitioned
	e.directory.hosts = e.directory.hosts[:0]
	for _, h := range e.fleet.ranked[:e.fleet.gatherers()] {
		e.directory.hosts = append(e.directory.hosts, h.ID)
	}
	e.quotas.setGatherers(now, e.fleet.ranked[:e.fleet.gatherers()])
	e.allowance.set(now, e.fleet.allowanceShare(), e.options.Extra.Window)
	e.directory.hostCount = len(e.fleet.ranked)
	e.directory.place = e.fleet.place()
	for _, u := range e.directory.byID {
		e.directory.updateLimit(now, u, false)
	}
	self := Host{ID: e.fleet.self, Domain: e.fleet.domain}
	e.domains.set(now, self, e.fleet.ranked, e.fleet.localTargets(), e.fleet.role == Entry)
	if !e.domainWatchStarted {
		e.domainWatchStarted = true
		e.timers.Add(now.Add(pingInterval), e.watchDomains)
	}
	e.note(Note{Decision: DecisionHosts, Parts: len(hosts), Missing: e.fleet.partitioned(), Detail: e.fleet.role.String()})
}

// Role returns the role of this host.
func (e *Engine) Role() Role { return e.fleet.role }

// Registered returns all hosts of the tier in the order of RankHosts. It returns the
// same slice until hosts come or go.
func (e *Engine) Registered() []Host { return e.fleet.registered }

// RegistrationOutdated reports whether this host has to register again, since its
// record does not tell whether it reaches the upstreams.
func (e *Engine) RegistrationOutdated() bool {
	return e.fleet.selfRegistered && e.fleet.selfPartitioned != e.connectivity.partitioned
}

// changeRole applies a change of this host's role. A host that becomes a gatherer
// does not know yet whether it reaches the upstreams, and may spend its share of the
// allowance for extra sends only when the shares of its predecessors have expired.
func (e *Engine) changeRole(now time.Time, before Role) {
	if before == Entry {
		e.targetSince = now
	}
	if e.fleet.role == Gatherer && !e.connectivity.partitioned {
		e.checkConnectivityOnce(now)
	}
}

func (e *Engine) note(n Note) { e.out.Notes = append(e.out.Notes, n) }

func (e *Engine) noteUpstream(u *upstream, decision Decision) {
	e.note(Note{Decision: decision, Upstream: u.ID, Service: u.Service, Version: e.Version(), Detail: u.Address})
}

func (e *Engine) budget(id core.ServiceID) *extraBudget {
	b := e.budgets.byKey[id]
	if b == nil {
		b = &extraBudget{}
		e.budgets.byKey[id] = b
	}
	return b
}
