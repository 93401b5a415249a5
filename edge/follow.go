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
	readers    = 3
	candidates = 8
	// followed is how many readers a host follows that has to know everything
	// in time, even while one of them is cut off.
	followed = 2
	// superviseEvery is the time between two looks at what to read from whom.
	superviseEvery = 200 * time.Millisecond
	// aloneAfter without a reader, a host reads the store itself, until it has
	// followed one for settledAfter. Hosts of lower rank wait aloneStagger
	// longer each, and may find that one before them reads.
	aloneAfter   = 300 * time.Millisecond
	aloneStagger = 50 * time.Millisecond
	settledAfter = 5 * time.Second
	// startDelay lets hosts that start together register before the first list
	// of hosts is read.
	startDelay = 400 * time.Millisecond
	// seedTimeout is how long the seeds have to answer before the store is
	// asked.
	seedTimeout = 80 * time.Millisecond
	// registerRetry is the pause after a registration that failed.
	registerRetry = time.Second
	// followRetry is the pause after all readers were tried.
	followRetry = 150 * time.Millisecond
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
	for at, h := range p.ranked[:min(len(p.ranked), candidates)] {
		if h.ID == p.self.ID {
			return at
		}
	}
	return candidates
}

// reads says that this host reads the store for others.
func (p *plan) reads() bool { return p.rank() < readers }

// registry is the duty that keeps a host informed. A few hosts read the store
// and stream what they read to the others; a host that reaches none of them
// reads the store itself.
type registry struct {
	objects *platform.Objects
	peers   *peers
	log     zerolog.Logger
	panics  *panics
	self    scatter.Host
	seeds   []string
	contact time.Duration // see HostSettings.Contact
	hubs    map[string]*hub
	hosts   *hub
	// firstStart says that all hosts start for the first time.
	firstStart bool
	// onHeard is told of each message of a host that is followed, onSilent of
	// what it says of silent hosts.
	onHeard  func(core.HostID)
	onSilent func(scatter.HostsSilent)
	silent   *silentHosts // that this host tells its followers of
	// onReachable is told when the first feed is cut off, and when all are
	// back.
	onReachable func(bool)
	sourceLock  sync.Mutex
	sourced     int // feeds that have a source
	current     atomic.Pointer[plan]

	followers *followers

	following  atomic.Int32 // streams that are up
	lastFollow atomic.Int64 // when one was up last, in nanoseconds of the steady clock
	started    time.Time
}

func newRegistry(objects *platform.Objects, p *peers, log zerolog.Logger, errors *panics, self scatter.Host, seeds []string, deliver func(platform.EventBatch)) *registry {
	r := &registry{objects: objects, peers: p, log: log, panics: errors, self: self, seeds: seeds, hubs: map[string]*hub{}, silent: newSilentHosts(), followers: newFollowers(), started: time.Now()}
	logged := func(news platform.EventBatch) {
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
		r.hubs[feed.Name].onSource = r.sourceChanged
	}
	r.hosts = r.hubs[platform.HostFeedName]
	r.current.Store(&plan{self: self, active: true})
	return r
}

func (r *registry) feeds(active bool) []string {
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
		pause(ctx, startDelay)
	}
	r.learnHosts(ctx)
	r.prime(ctx)
	work := &registryWork{registry: r}
	defer work.stopAll()
	work.duties.Go(func() { r.takeCensus(ctx) })
	ticker := time.NewTicker(superviseEvery)
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
		pause(ctx, registerRetry)
	}
}

// follow takes a host's stream until it ends; up is called after the first
// update.
func (r *registry) follow(ctx context.Context, reader scatter.Host, feeds []string, up func()) (err error) {
	defer r.panics.caught("registry", "", func() { err = errUnexpected })
	client, err := r.peers.client(reader.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(followSilence, func() { cancel(eris.New("the stream is silent")) })
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
		silence.Reset(followSilence)
		r.onHeard(reader.ID)
		if message.Feed == "" {
			r.onSilent(scatter.HostsSilent{By: reader.ID, Hosts: hostIDs(message.SilentHosts)})
			continue
		}
		if err := r.take(message); err != nil {
			return err
		}
		if pending--; pending == 0 {
			up()
		}
	}
}

func (r *registry) take(message *edgepb.FeedUpdate) error {
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
const retellPause = 50 * time.Millisecond

// retell tells a new core what is known.
func (r *registry) retell() {
	time.Sleep(retellPause)
	for _, hub := range r.hubs {
		hub.retell()
	}
	r.followers.retell()
	r.sourceLock.Lock()
	defer r.sourceLock.Unlock()
	r.onReachable(r.sourced == len(r.hubs))
}

// sourceChanged counts the feeds that have a source.
func (r *registry) sourceChanged(up bool) {
	r.sourceLock.Lock()
	defer r.sourceLock.Unlock()
	before := r.sourced == len(r.hubs)
	if up {
		r.sourced++
	} else {
		r.sourced--
	}
	if after := r.sourced == len(r.hubs); before != after {
		r.onReachable(after)
	}
}

// readsStore says whether this host's own reading of the store works, for all
// feeds.
func (r *registry) readsStore() bool {
	for _, hub := range r.hubs {
		if !hub.reads() {
			return false
		}
	}
	return true
}

// setUp counts the streams that are up.
func (r *registry) setUp(up bool, feeds []string) {
	if up {
		r.following.Add(1)
	} else {
		r.following.Add(-1)
		r.lastFollow.Store(int64(time.Since(r.started)))
	}
	for _, name := range feeds {
		r.hubs[name].countSource(up)
	}
}

// registryWork is what a registry does at present.
type registryWork struct {
	registry *registry

	store      context.CancelFunc // reading the store, or nil
	followers  context.CancelFunc // following others, or nil
	shape      followShape
	settled    time.Time // since when a reader is followed
	lastListed time.Time
	lastAsked  time.Time
	asking     atomic.Bool
	missing    time.Time // since when this host is not in the list of hosts
	duties     sync.WaitGroup
}

// followShape is what decides which streams to keep.
type followShape struct {
	active bool
	// reading says that this host's own reading of the store works.
	reading bool
	first   [candidates]scatter.Host
}

// adjust starts and ends duties as the plan and the other hosts require.
func (w *registryWork) adjust(ctx context.Context) {
	r := w.registry
	p := r.current.Load()
	following := r.following.Load() > 0
	switch {
	case !following:
		w.settled = time.Time{}
	case w.settled.IsZero():
		w.settled = time.Now()
	}
	if p.reads() && w.store == nil {
		w.readStore(ctx)
	}
	w.adjustFollowers(ctx, p)
	w.registerAgain(ctx, p)
	if p.active && time.Since(w.lastAsked) > askHostsEvery && !r.knowsAll() && w.asking.CompareAndSwap(false, true) {
		w.lastAsked = time.Now()
		w.duties.Go(func() {
			defer w.asking.Store(false)
			r.askHosts(ctx)
		})
	}
	sinceFollowed := time.Since(r.started) - time.Duration(r.lastFollow.Load())
	alone := !following && sinceFollowed > aloneAfter+time.Duration(p.rank())*aloneStagger
	settled := following && time.Since(w.settled) > settledAfter
	switch {
	case w.store == nil && p.active && alone:
		w.readStore(ctx)
	case w.store != nil && !p.reads() && (settled || !p.active):
		w.store()
		w.store = nil
	case !p.active && alone && time.Since(w.lastListed) > listHostsEvery:
		w.lastListed = time.Now()
		w.duties.Go(func() { r.learnHosts(ctx) })
	}
}

// registerAgainAfter is how long a host may be missing in the list of hosts
// before it registers again.
const registerAgainAfter = 5 * time.Second

// registerAgain stores this host's record again should it have been removed.
func (w *registryWork) registerAgain(ctx context.Context, p *plan) {
	listed := slices.ContainsFunc(p.ranked, func(h scatter.Host) bool { return h.ID == p.self.ID })
	switch {
	case listed || len(p.ranked) == 0:
		w.missing = time.Time{}
	case w.missing.IsZero():
		w.missing = time.Now()
	case time.Since(w.missing) > registerAgainAfter:
		w.missing = time.Now()
		w.registry.log.Warn().Str("event", "register_again").Msg("this host is not in the list of hosts")
		w.duties.Go(func() { w.registry.register(ctx) })
	}
}

// askHostsEvery is how often a host that misses a feed asks others for it, and
// askedHosts how many of those that rank first, which know everything.
const (
	askHostsEvery = time.Second
	askedHosts    = 16
)

// listHostsEvery is how often a host that knows the hosts only, and follows
// nobody, reads their list.
const listHostsEvery = 15 * time.Second

func (w *registryWork) adjustFollowers(ctx context.Context, p *plan) {
	shape := followShape{active: p.active, reading: p.reads() && w.registry.readsStore()}
	copy(shape.first[:], p.ranked)
	if shape == w.shape {
		return
	}
	w.shape = shape
	if w.followers != nil {
		w.followers()
		w.followers = nil
	}
	var others []scatter.Host
	for _, h := range p.ranked[:min(len(p.ranked), candidates)] {
		if h.ID != p.self.ID {
			others = append(others, h)
		}
	}
	if shape.reading || len(others) == 0 {
		return
	}
	streams := min(followed, len(others))
	if !p.active {
		streams = 1
	}
	followCtx, cancel := context.WithCancel(ctx)
	w.followers = cancel
	for slot := range streams {
		w.duties.Go(func() { w.registry.followAny(followCtx, others, slot, streams, w.registry.feeds(p.active)) })
	}
}

// followAny keeps one stream open to one of the readers, each slot beginning
// with another.
func (r *registry) followAny(ctx context.Context, others []scatter.Host, slot, slots int, feeds []string) {
	failures := 0
	for at := slot; ctx.Err() == nil; at += slots {
		reader := others[at%len(others)]
		up := false
		err := r.follow(ctx, reader, feeds, func() {
			up, failures = true, 0
			r.setUp(true, feeds)
			r.log.Info().Str("event", "dependency_regained").Str("dependency", "reader").Str("reader", string(reader.ID)).Msg("following")
		})
		if up {
			r.setUp(false, feeds)
		}
		if ctx.Err() != nil {
			return
		}
		if failures == 0 {
			r.log.Warn().Str("event", "dependency_lost").Str("dependency", "reader").Str("reader", string(reader.ID)).AnErr("cause", err).Msg("trying others")
		}
		failures++
		if failures%len(others) == 0 {
			pause(ctx, followRetry)
		}
	}
}

func (w *registryWork) readStore(ctx context.Context) {
	storeCtx, cancel := context.WithCancel(ctx)
	w.store = cancel
	for _, hub := range w.registry.hubs {
		reader := &storeReader{hub: hub, contact: w.registry.contact, log: w.registry.log, panics: w.registry.panics}
		w.duties.Go(func() { reader.run(storeCtx) })
	}
}

func (w *registryWork) stopAll() {
	if w.store != nil {
		w.store()
	}
	if w.followers != nil {
		w.followers()
	}
	w.duties.Wait()
}
