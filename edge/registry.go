package edge

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// superviseInterval is the interval at which a host adjusts what it reads
	// and from which hosts.
	superviseInterval = 200 * time.Millisecond
	// firstStartDelay gives hosts that start together the time to register
	// before the list of hosts is first read.
	firstStartDelay = 400 * time.Millisecond
	// seedTimeout is how long a host waits for the seeds before it reads the
	// hosts from the store. It is seedFirstTimeout when all hosts start together, and
	// the seeds read the list at the same time. A seed that does not have it yet is
	// queried again after seedRetryDelay.
	seedTimeout      = 80 * time.Millisecond
	seedFirstTimeout = 300 * time.Millisecond
	seedRetryDelay   = 30 * time.Millisecond
	// followRetryDelay is the delay after every reader was tried without
	// success.
	followRetryDelay = 150 * time.Millisecond
)

// plan determines which feeds a host keeps up to date and which hosts it
// follows.
type plan struct {
	self   scatter.Host
	ranked []scatter.Host
	// active hosts need all feeds; others need the list of hosts only.
	active bool
}

// rank returns this host's index in the ranking, or the number of hosts if it is not in
// it, but then at least scatter.StoreCandidates.
func (p *plan) rank() int {
	for at, h := range p.ranked {
		if h.ID == p.self.ID {
			return at
		}
	}
	return max(scatter.StoreCandidates, len(p.ranked))
}

// alone reports whether this host knows no other one.
func (p *plan) alone() bool {
	return len(p.ranked) == 0 || len(p.ranked) == 1 && p.ranked[0].ID == p.self.ID
}

// isReader reports whether this host reads the store for other hosts.
func (p *plan) isReader() bool { return p.rank() < scatter.StoreReaders }

// registry keeps a host's feeds up to date. A few hosts read the store and
// stream the updates to the others; a host that reaches none of them reads the
// store itself.
type registry struct {
	objects *platform.Objects
	gate    *storeGate
	// registering is true while this host's record is being stored, recordUrgent if
	// the list lacks it or has an outdated one.
	registering, recordUrgent atomic.Bool
	peers                     *peers
	log                       zerolog.Logger
	panics                    *panicHandler
	self                      scatter.Host
	seeds                     []string
	contactTime               time.Duration // see HostSettings.Contact
	hubs                      map[string]*hub
	hosts                     *hub
	// required is the number of feeds without which this host counts as cut off.
	required int
	// readingRollouts is true while a task reads the feeds of roll-outs from the store, since
	// a followed host does not have them.
	readingRollouts atomic.Bool
	// firstStart is true when the whole tier starts for the first time.
	firstStart bool
	// hostsRestored is set when the list of hosts comes from a restored store, and
	// cleared once this host is known to be in it.
	hostsRestored atomic.Bool
	// partitioned is whether this host reaches no upstreams, recordOutdated whether
	// its record has to be stored again since it says otherwise.
	partitioned, recordOutdated atomic.Bool
	// onHostSeen is called for each message from a followed host, onSilentHosts
	// with each list of silent hosts that such a host reports.
	onHostSeen    func(core.HostID)
	onSilentHosts func(scatter.HostsSilent)
	// onCallerLimits is called with the limits for callers that such a host reports.
	onCallerLimits func(scatter.LimitsReported)
	silentHosts    *silentHosts // reported to this host's followers
	// onStoreReachable is called with false when the first feed loses its last
	// source, and with true when all feeds have one again.
	onStoreReachable func(scatter.StoreReachable)
	// onLapsed is called when this host stops following all feeds but the list of hosts.
	onLapsed        func()
	sourceMu        sync.Mutex
	feedsWithSource int
	// storeMayHaveFailed is true if a feed has a source again that had none while the
	// store may have been unavailable, until it is reported.
	storeMayHaveFailed bool
	current            atomic.Pointer[plan]

	followers *followers

	openStreams   atomic.Int32
	lastStreamEnd atomic.Int64 // monotonic nanoseconds since started
	started       time.Time
}

func newRegistry(objects *platform.Objects, p *peers, log zerolog.Logger, panics *panicHandler, self scatter.Host, seeds []string, contact time.Duration, withRollouts bool, deliver func(platform.EventBatch)) *registry {
	r := &registry{objects: objects, peers: p, log: log, panics: panics, self: self, seeds: seeds, contactTime: contact, hubs: map[string]*hub{}, silentHosts: newSilentHosts(), followers: newFollowers(), started: time.Now()}
	logAndDeliver := func(batch platform.EventBatch) {
		for _, problem := range batch.Problems {
			log.Warn().Str("event", "entry_ignored").AnErr("cause", problem).Msg("ignoring an invalid store entry")
		}
		deliver(batch)
	}
	feeds := []*platform.Feed{
		platform.ConfigFeed(objects), platform.UpstreamFeed(objects), platform.DomainFeed(objects), platform.HostFeed(objects),
		platform.SuspectFeed(objects),
	}
	r.required = len(feeds)
	if withRollouts {
		feeds = append(feeds, platform.RolloutFeed(objects), platform.RolloutRecordFeed(objects))
	}
	for at, feed := range feeds {
		r.hubs[feed.Name] = newHub(feed, logAndDeliver)
		if at < r.required {
			r.hubs[feed.Name].onSourceChange = r.feedSourceChanged
		}
		r.hubs[feed.Name].onIgnored = func(u platform.Update, at core.Position) {
			log.Info().Str("event", "update_ignored").Str("feed", feed.Name).Bool("whole", u.Reset).Int("changes", len(u.Changes)).
				Uint64("era", u.Era).Uint64("revision", u.Revision).Uint64("known_era", at.Era).Uint64("known_revision", at.Revision).
				Msg("an update is not newer than the known state")
		}
		r.hubs[feed.Name].onRestored = func(at core.Position) {
			log.Warn().Str("event", "store_restored").Str("feed", feed.Name).Uint64("era", at.Era).Uint64("revision", at.Revision).
				Msg("the store was restored from an older copy")
			if feed.Name == platform.HostFeedName {
				r.hostsRestored.Store(true)
			}
		}
	}
	r.hosts = r.hubs[platform.HostFeedName]
	r.current.Store(&plan{self: self, active: true})
	r.gate = newStoreGate(contact, r.storeSituation)
	return r
}

// feedNames returns the feeds that a host needs.
func (r *registry) feedNames(active bool) []string {
	if !active {
		return []string{platform.HostFeedName}
	}
	names := make([]string, 0, len(r.hubs))
	for name := range r.hubs {
		names = append(names, name)
	}
	return names
}

// run keeps the feeds up to date until ctx ends.
func (r *registry) run(ctx context.Context) {
	supervisor := &registrySupervisor{registry: r}
	defer supervisor.stopAll()
	if r.firstStart {
		supervisor.tasks.Go(func() { r.register(ctx) })
		pause(ctx, firstStartDelay)
		r.loadHosts(ctx)
	} else {
		// After a restart the list usually holds the record already.
		r.loadHosts(ctx)
		supervisor.tasks.Go(func() { r.register(ctx) })
	}
	pause(ctx, roleDelay)
	supervisor.adjustStreams(ctx, r.current.Load())
	r.loadFeeds(ctx)
	supervisor.tasks.Go(func() { r.removeStaleHosts(ctx) })
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		supervisor.adjust(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow applies the updates of a reader's stream until the stream ends. It
// calls the function up once the stream has brought as many updates as it has feeds.
func (r *registry) follow(ctx context.Context, reader scatter.Host, feeds []string, up func(scatter.RegistrySource)) (err error) {
	defer r.panics.recoverPanic("registry", "", func() { err = errUnexpected })
	client, err := r.peers.client(reader.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(followSilenceTimeout, func() { cancel(eris.New("no message within the silence timeout")) })
	defer silenceTimer.Stop()
	stream, err := client.Follow(ctx, &edgepb.FollowRequest{Feeds: feeds, Host: string(r.self.ID)})
	if err != nil {
		return eris.Wrap(err, "follow")
	}
	pending := len(feeds)
	from := scatter.RegistrySource{UpFor: math.MaxInt64}
	for {
		message, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "follow (%v)", context.Cause(ctx))
		}
		silenceTimer.Reset(followSilenceTimeout)
		r.onHostSeen(reader.ID)
		if message.Feed == "" {
			r.onSilentHosts(scatter.HostsSilent{By: reader.ID, Hosts: hostIDs(message.SilentHosts)})
			if limits := message.CallerLimits; limits != nil {
				r.onCallerLimits(decodeCallerLimits(limits))
			}
			continue
		}
		if err := r.applyMessage(message); err != nil {
			return err
		}
		if pending > 0 {
			from.UpFor = min(from.UpFor, time.Duration(max(0, message.StoreUpUs))*time.Microsecond)
			from.Failed = from.Failed || message.StoreFailed
		}
		if pending--; pending == 0 {
			up(from)
		}
	}
}

// applyMessage applies an update from another host to its feed.
func (r *registry) applyMessage(message *edgepb.FeedUpdate) error {
	h := r.hubs[message.Feed]
	if h == nil {
		return nil // a feed of a newer version
	}
	changes, err := platform.DecodeChanges(message.Changes)
	if err != nil {
		return err
	}
	if !h.apply(platform.Update{Reset: message.Reset_, Era: message.Era, Base: message.Base, Revision: message.Revision, Changes: changes}) {
		return eris.Errorf("feed %q: changes before revision %d are missing", message.Feed, message.Base)
	}
	return nil
}

// redeliverDelay keeps the core from panicking in a tight loop when the
// redelivered state itself causes the panic.
const redeliverDelay = 50 * time.Millisecond

// redeliver delivers the current state of all feeds to a new core.
func (r *registry) redeliver() {
	time.Sleep(redeliverDelay)
	for _, hub := range r.hubs {
		hub.redeliver()
	}
	r.followers.redeliver()
	r.sourceMu.Lock()
	defer r.sourceMu.Unlock()
	r.onStoreReachable(scatter.StoreReachable{Reachable: r.feedsWithSource == r.required})
}

// feedSourceChanged counts the feeds that have a source, and reports when the
// store becomes reachable or unreachable.
func (r *registry) feedSourceChanged(up bool, gap scatter.SourceGap) {
	r.sourceMu.Lock()
	defer r.sourceMu.Unlock()
	before := r.feedsWithSource == r.required
	if up {
		r.feedsWithSource++
		r.storeMayHaveFailed = r.storeMayHaveFailed || gap.StoreMayHaveFailed()
	} else {
		r.feedsWithSource--
	}
	after := r.feedsWithSource == r.required
	if before == after {
		return
	}
	r.onStoreReachable(scatter.StoreReachable{Reachable: after, MayHaveFailed: after && r.storeMayHaveFailed})
	if after {
		r.storeMayHaveFailed = false
	}
}

// storeReadersUp reports whether this host's own store readers work, for all
// feeds.
func (r *registry) storeReadersUp() bool {
	for _, hub := range r.hubs {
		if !hub.isStoreUp() {
			return false
		}
	}
	return true
}

// streamChanged counts a stream that came up or ended, as a source of its
// feeds. One that came up is described by from.
func (r *registry) streamChanged(up bool, feeds []string, from scatter.RegistrySource) {
	if up {
		r.openStreams.Add(1)
	} else {
		r.openStreams.Add(-1)
		r.lastStreamEnd.Store(int64(time.Since(r.started)))
	}
	for _, name := range feeds {
		r.hubs[name].sourceChanged(up, from)
	}
	r.gate.wake()
}

// registrySupervisor starts and stops a registry's store readers and streams.
type registrySupervisor struct {
	registry *registry

	stopReaders    context.CancelFunc // nil while the store is not read
	stopFollowing  context.CancelFunc // nil while no host is followed
	streams        streamConfig
	followingSince time.Time // zero while no stream is up
	lastHostList   time.Time
	lastFetch      time.Time
	lastSnapshot   time.Time
	listInterval   time.Duration
	lastUpdate     time.Time // of this host's record
	fetching       atomic.Bool
	unlistedSince  time.Time // zero while this host is in the list of hosts
	lapsed         bool      // only the list of hosts is kept up to date
	tasks          sync.WaitGroup
}

// streamConfig is the input that determines which streams to keep; they are
// reopened when it changes.
type streamConfig struct {
	active bool
	// readersUp is true when this host is a reader and its store readers work.
	readersUp bool
	// substitute is true while this host follows only hosts of higher rank.
	substitute bool
	candidates [scatter.StoreCandidates]scatter.Host
}

// adjust starts and stops store readers, streams and one-time reads according
// to the plan and the state of the streams.
func (w *registrySupervisor) adjust(ctx context.Context) {
	r := w.registry
	p := r.current.Load()
	if p.active || p.isReader() {
		w.setFollowed(true)
	}
	following := r.openStreams.Load() > 0
	switch {
	case !following:
		w.followingSince = time.Time{}
	case w.followingSince.IsZero():
		w.followingSince = time.Now()
	}
	if p.isReader() && w.stopReaders == nil {
		w.startReaders(ctx)
	}
	w.adjustStreams(ctx, p)
	w.reregister(ctx)
	if p.active && time.Since(w.lastFetch) > fetchInterval && !r.allFeedsLoaded() && w.fetching.CompareAndSwap(false, true) {
		w.lastFetch = time.Now()
		w.tasks.Go(func() {
			defer w.fetching.Store(false)
			r.fetchMissingFeeds(ctx)
		})
	}
	reading := w.storeReading(p)
	switch wanted := reading.Wanted(); {
	case w.stopReaders == nil && wanted:
		r.gate.doubt()
		w.startReaders(ctx)
	case w.stopReaders != nil && !wanted:
		w.stopReaders()
		w.stopReaders = nil
	case !p.active && reading.Streams == 0:
		w.refreshHosts(ctx, p, reading.CutOffFor)
	}
	if !p.active && w.stopReaders == nil {
		w.setFollowed(false)
	}
}

// setFollowed states whether this host keeps all feeds up to date, or only the list of
// hosts.
func (w *registrySupervisor) setFollowed(followed bool) {
	if w.lapsed == !followed {
		return
	}
	w.lapsed = !followed
	r := w.registry
	for _, hub := range r.hubs {
		if hub != r.hosts {
			hub.setFollowed(followed)
		}
	}
	if !followed {
		r.onLapsed()
	}
}

// storeReading returns what determines whether this host reads the store.
func (w *registrySupervisor) storeReading(p *plan) scatter.StoreReading {
	r := w.registry
	reading := scatter.StoreReading{Rank: p.rank(), Active: p.active, Alone: p.alone(), Reading: w.stopReaders != nil, Served: r.storeReadersUp(), Streams: int(r.openStreams.Load())}
	if reading.Streams == 0 {
		reading.CutOffFor = time.Since(r.started) - time.Duration(r.lastStreamEnd.Load())
	} else {
		reading.UpFor = time.Since(w.followingSince)
	}
	return reading
}

// fetchInterval is the interval at which a host that lacks a feed requests it
// from other hosts, and fetchCandidates how many hosts it tries. These are the
// first in rank, which hold all feeds.
const (
	fetchInterval   = time.Second
	fetchCandidates = 16
)

// adjustStreams replaces the streams when the conditions that determine them
// have changed.
func (w *registrySupervisor) adjustStreams(ctx context.Context, p *plan) {
	reading := w.storeReading(p)
	wanted := streamConfig{active: p.active, readersUp: p.isReader() && reading.Served, substitute: reading.FollowsHigherRanksOnly()}
	copy(wanted.candidates[:], p.ranked)
	if wanted == w.streams {
		return
	}
	w.streams = wanted
	if w.stopFollowing != nil {
		w.stopFollowing()
		w.stopFollowing = nil
	}
	var others []scatter.Host
	for _, h := range p.ranked[:min(len(p.ranked), scatter.StoreCandidates)] {
		if h.ID == p.self.ID && wanted.substitute {
			break
		}
		if h.ID != p.self.ID {
			others = append(others, h)
		}
	}
	if wanted.readersUp || len(others) == 0 {
		return
	}
	streams := min(scatter.StreamsPerActiveHost, len(others))
	if !p.active {
		streams = 1
	}
	followCtx, cancel := context.WithCancel(ctx)
	w.stopFollowing = cancel
	for slot := range streams {
		w.tasks.Go(func() { w.registry.keepStream(followCtx, others, slot, streams, w.registry.feedNames(p.active)) })
	}
}

// startReaders starts to read all feeds from the store.
func (w *registrySupervisor) startReaders(ctx context.Context) {
	storeCtx, cancel := context.WithCancel(ctx)
	w.stopReaders = cancel
	for _, hub := range w.registry.hubs {
		reader := w.registry.newStoreReader(hub)
		w.tasks.Go(func() { reader.run(storeCtx) })
	}
}

// stopAll stops the store readers and the streams, and waits for all tasks.
func (w *registrySupervisor) stopAll() {
	if w.stopReaders != nil {
		w.stopReaders()
	}
	if w.stopFollowing != nil {
		w.stopFollowing()
	}
	w.tasks.Wait()
}
