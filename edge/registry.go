package edge

import (
	"context"
	"slices"
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
	// readers is how many hosts read the store for the others; candidates are
	// asked in turn when these do not.
	readerCount      = 3
	readerCandidates = 8
	// followed is how many readers a host follows that has to know everything
	// in time, even while one of them is cut off.
	streamsPerActiveHost = 2
	// superviseEvery is the time between two looks at what to read from whom.
	superviseInterval = 200 * time.Millisecond
	// aloneAfter without a reader, a host reads the store itself, until it has
	// followed one for settledAfter. Hosts of lower rank wait aloneStagger
	// longer each, and may find that one before them reads.
	storeFallbackDelay   = 300 * time.Millisecond
	storeFallbackStagger = 50 * time.Millisecond
	stableStreamAfter    = 5 * time.Second
	// startDelay lets hosts that start together register before the first list
	// of hosts is read.
	firstStartDelay = 400 * time.Millisecond
	// seedTimeout is how long the seeds have to answer before the store is
	// asked.
	seedTimeout = 80 * time.Millisecond
	// registerRetry is the pause after a registration that failed.
	registerRetryDelay = time.Second
	// followRetry is the pause after all readers were tried.
	followRetryDelay = 150 * time.Millisecond
)

// plan says what a host has to know, and from whom.
type plan struct {
	self   scatter.Host
	ranked []scatter.Host
	// active hosts have to know everything; others know the hosts only.
	active bool
}

// rank is this host's place in the ranking, up to the number of candidates.
func (p *plan) rank() int {
	for at, h := range p.ranked[:min(len(p.ranked), readerCandidates)] {
		if h.ID == p.self.ID {
			return at
		}
	}
	return readerCandidates
}

// reads says that this host reads the store for others.
func (p *plan) isReader() bool { return p.rank() < readerCount }

// registry is the duty that keeps a host informed. A few hosts read the store
// and stream what they read to the others; a host that reaches none of them
// reads the store itself.
type registry struct {
	objects     *platform.Objects
	peers       *peers
	log         zerolog.Logger
	panics      *panicHandler
	self        scatter.Host
	seeds       []string
	contactTime time.Duration // see HostSettings.Contact
	hubs        map[string]*hub
	hosts       *hub
	// firstStart says that all hosts start for the first time.
	firstStart bool
	// onHeard is told of each message of a host that is followed, onSilent of
	// what it says of silent hosts.
	onHostSeen    func(core.HostID)
	onSilentHosts func(scatter.HostsSilent)
	silentHosts   *silentHosts // that this host tells its followers of
	// onReachable is told when the first feed is cut off, and when all are
	// back.
	onStoreReachable func(bool)
	sourceMu         sync.Mutex
	feedsWithSource  int // feeds that have a source
	current          atomic.Pointer[plan]

	followers *followers

	openStreams   atomic.Int32 // streams that are up
	lastStreamEnd atomic.Int64 // when one was up last, in nanoseconds of the steady clock
	started       time.Time
}

func newRegistry(objects *platform.Objects, p *peers, log zerolog.Logger, errors *panicHandler, self scatter.Host, seeds []string, deliver func(platform.News)) *registry {
	r := &registry{objects: objects, peers: p, log: log, panics: errors, self: self, seeds: seeds, hubs: map[string]*hub{}, silentHosts: newSilentHosts(), followers: newFollowers(), started: time.Now()}
	logged := func(news platform.News) {
		for _, problem := range news.Problems {
			log.Warn().Str("event", "entry_ignored").AnErr("cause", problem).Msg("an entry names nothing to use")
		}
		deliver(news)
	}
	for _, feed := range []*platform.Feed{
		platform.ConfigFeed(objects), platform.UpstreamFeed(objects), platform.DomainFeed(objects), platform.HostFeed(objects),
		platform.SuspectFeed(objects),
	} {
		r.hubs[feed.Name] = newHub(feed, logged)
		r.hubs[feed.Name].onSourceChange = r.feedSourceChanged
	}
	r.hosts = r.hubs[platform.HostFeedName]
	r.current.Store(&plan{self: self, active: true})
	return r
}

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

// run keeps the host informed until ctx ends.
func (r *registry) run(ctx context.Context) {
	go r.register(ctx)
	if r.firstStart {
		pause(ctx, firstStartDelay)
	}
	r.loadHosts(ctx)
	r.loadFeeds(ctx)
	work := &registrySupervisor{registry: r}
	defer work.stopAll()
	work.tasks.Go(func() { r.removeStaleHosts(ctx) })
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		work.adjust(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// register stores this host's record.
func (r *registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, listTimeout)
		err := platform.RegisterHost(attempt, r.objects, r.self)
		cancel()
		if err == nil {
			return
		}
		r.log.Warn().Str("event", "register_failed").AnErr("cause", err).Msg("other hosts do not know this one yet")
		pause(ctx, registerRetryDelay)
	}
}

// follow takes a host's stream until it ends; up is called after the first
// update.
func (r *registry) follow(ctx context.Context, reader scatter.Host, feeds []string, up func()) (err error) {
	defer r.panics.recoverPanic("registry", "", func() { err = errUnexpected })
	client, err := r.peers.client(reader.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(followSilenceTimeout, func() { cancel(eris.New("the stream is silent")) })
	defer silence.Stop()
	stream, err := client.Follow(ctx, &edgepb.FollowRequest{Feeds: feeds, Host: string(r.self.ID)})
	if err != nil {
		return eris.Wrap(err, "follow")
	}
	pending := len(feeds)
	for {
		message, err := stream.Recv()
		if err != nil {
			return eris.Wrapf(err, "follow (%v)", context.Cause(ctx))
		}
		silence.Reset(followSilenceTimeout)
		r.onHostSeen(reader.ID)
		if message.Feed == "" {
			r.onSilentHosts(scatter.HostsSilent{By: reader.ID, Hosts: hostIDs(message.SilentHosts)})
			continue
		}
		if err := r.applyMessage(message); err != nil {
			return err
		}
		if pending--; pending == 0 {
			up()
		}
	}
}

func (r *registry) applyMessage(message *edgepb.FeedUpdate) error {
	hub := r.hubs[message.Feed]
	if hub == nil {
		return nil // a feed that this version does not know
	}
	changes, err := platform.DecodeChanges(message.Changes)
	if err != nil {
		return err
	}
	if !hub.apply(platform.Update{Reset: message.Reset_, Base: message.Base, Revision: message.Revision, Changes: changes}) {
		return eris.New("changes are missing")
	}
	return nil
}

// retellPause lets a core that met an error take breath, should what it is told
// bring the error about.
const redeliverDelay = 50 * time.Millisecond

// retell tells a new core what is known.
func (r *registry) redeliver() {
	time.Sleep(redeliverDelay)
	for _, hub := range r.hubs {
		hub.redeliver()
	}
	r.followers.redeliver()
	r.sourceMu.Lock()
	defer r.sourceMu.Unlock()
	r.onStoreReachable(r.feedsWithSource == len(r.hubs))
}

// sourceChanged counts the feeds that have a source.
func (r *registry) feedSourceChanged(up bool) {
	r.sourceMu.Lock()
	defer r.sourceMu.Unlock()
	before := r.feedsWithSource == len(r.hubs)
	if up {
		r.feedsWithSource++
	} else {
		r.feedsWithSource--
	}
	if after := r.feedsWithSource == len(r.hubs); before != after {
		r.onStoreReachable(after)
	}
}

// readsStore says whether this host's own reading of the store works, for all
// feeds.
func (r *registry) storeReadersUp() bool {
	for _, hub := range r.hubs {
		if !hub.isStoreUp() {
			return false
		}
	}
	return true
}

// setUp counts the streams that are up.
func (r *registry) streamChanged(up bool, feeds []string) {
	if up {
		r.openStreams.Add(1)
	} else {
		r.openStreams.Add(-1)
		r.lastStreamEnd.Store(int64(time.Since(r.started)))
	}
	for _, name := range feeds {
		r.hubs[name].sourceChanged(up)
	}
}

// registryWork is what a registry does at present.
type registrySupervisor struct {
	registry *registry

	stopReaders    context.CancelFunc // reading the store, or nil
	stopFollowing  context.CancelFunc // following others, or nil
	streams        streamConfig
	followingSince time.Time // since when a reader is followed
	lastHostList   time.Time
	lastFetch      time.Time
	fetching       atomic.Bool
	unlistedSince  time.Time // since when this host is not in the list of hosts
	tasks          sync.WaitGroup
}

// followShape is what decides which streams to keep.
type streamConfig struct {
	active bool
	// reading says that this host's own reading of the store works.
	readersUp  bool
	candidates [readerCandidates]scatter.Host
}

// adjust starts and ends duties as the plan and the other hosts require.
func (w *registrySupervisor) adjust(ctx context.Context) {
	r := w.registry
	p := r.current.Load()
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
	w.reregister(ctx, p)
	if p.active && time.Since(w.lastFetch) > fetchInterval && !r.allFeedsLoaded() && w.fetching.CompareAndSwap(false, true) {
		w.lastFetch = time.Now()
		w.tasks.Go(func() {
			defer w.fetching.Store(false)
			r.fetchMissingFeeds(ctx)
		})
	}
	sinceFollowed := time.Since(r.started) - time.Duration(r.lastStreamEnd.Load())
	alone := !following && sinceFollowed > storeFallbackDelay+time.Duration(p.rank())*storeFallbackStagger
	settled := following && time.Since(w.followingSince) > stableStreamAfter
	switch {
	case w.stopReaders == nil && p.active && alone:
		w.startReaders(ctx)
	case w.stopReaders != nil && !p.isReader() && (settled || !p.active):
		w.stopReaders()
		w.stopReaders = nil
	case !p.active && alone && time.Since(w.lastHostList) > listHostsInterval:
		w.lastHostList = time.Now()
		w.tasks.Go(func() { r.loadHosts(ctx) })
	}
}

// registerAgainAfter is how long a host may be missing in the list of hosts
// before it registers again.
const reregisterDelay = 5 * time.Second

// registerAgain stores this host's record again should it have been removed.
func (w *registrySupervisor) reregister(ctx context.Context, p *plan) {
	listed := slices.ContainsFunc(p.ranked, func(h scatter.Host) bool { return h.ID == p.self.ID })
	switch {
	case listed || len(p.ranked) == 0:
		w.unlistedSince = time.Time{}
	case w.unlistedSince.IsZero():
		w.unlistedSince = time.Now()
	case time.Since(w.unlistedSince) > reregisterDelay:
		w.unlistedSince = time.Now()
		w.registry.log.Warn().Str("event", "register_again").Msg("this host is not in the list of hosts")
		w.tasks.Go(func() { w.registry.register(ctx) })
	}
}

// askHostsEvery is how often a host that misses a feed asks others for it, and
// askedHosts how many of those that rank first, which know everything.
const (
	fetchInterval   = time.Second
	fetchCandidates = 16
)

// listHostsEvery is how often a host that knows the hosts only, and follows
// nobody, reads their list.
const listHostsInterval = 15 * time.Second

func (w *registrySupervisor) adjustStreams(ctx context.Context, p *plan) {
	shape := streamConfig{active: p.active, readersUp: p.isReader() && w.registry.storeReadersUp()}
	copy(shape.candidates[:], p.ranked)
	if shape == w.streams {
		return
	}
	w.streams = shape
	if w.stopFollowing != nil {
		w.stopFollowing()
		w.stopFollowing = nil
	}
	var others []scatter.Host
	for _, h := range p.ranked[:min(len(p.ranked), readerCandidates)] {
		if h.ID != p.self.ID {
			others = append(others, h)
		}
	}
	if shape.readersUp || len(others) == 0 {
		return
	}
	streams := min(streamsPerActiveHost, len(others))
	if !p.active {
		streams = 1
	}
	followCtx, cancel := context.WithCancel(ctx)
	w.stopFollowing = cancel
	for slot := range streams {
		w.tasks.Go(func() { w.registry.keepStream(followCtx, others, slot, streams, w.registry.feedNames(p.active)) })
	}
}

// followAny keeps one stream open to one of the readers, each slot beginning
// with another.
func (r *registry) keepStream(ctx context.Context, others []scatter.Host, slot, slots int, feeds []string) {
	failures := 0
	for at := slot; ctx.Err() == nil; at += slots {
		reader := others[at%len(others)]
		up := false
		err := r.follow(ctx, reader, feeds, func() {
			up, failures = true, 0
			r.streamChanged(true, feeds)
			r.log.Info().Str("event", "dependency_regained").Str("dependency", "reader").Str("reader", string(reader.ID)).Msg("following")
		})
		if up {
			r.streamChanged(false, feeds)
		}
		if ctx.Err() != nil {
			return
		}
		if failures == 0 {
			r.log.Warn().Str("event", "dependency_lost").Str("dependency", "reader").Str("reader", string(reader.ID)).AnErr("cause", err).Msg("trying others")
		}
		failures++
		if failures%len(others) == 0 {
			pause(ctx, followRetryDelay)
		}
	}
}

func (w *registrySupervisor) startReaders(ctx context.Context) {
	storeCtx, cancel := context.WithCancel(ctx)
	w.stopReaders = cancel
	for _, hub := range w.registry.hubs {
		reader := &storeReader{hub: hub, contactTime: w.registry.contactTime, log: w.registry.log, panics: w.registry.panics}
		w.tasks.Go(func() { reader.run(storeCtx) })
	}
}

func (w *registrySupervisor) stopAll() {
	if w.stopReaders != nil {
		w.stopReaders()
	}
	if w.stopFollowing != nil {
		w.stopFollowing()
	}
	w.tasks.Wait()
}
