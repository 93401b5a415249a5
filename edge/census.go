package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// followers counts the streams of the hosts that follow this one.
type followers struct {
	// onFollowed is told whether there are any.
	onFollowed func(bool)

	mu      sync.Mutex
	streams map[string]int
}

func newFollowers() *followers { return &followers{streams: map[string]int{}} }

// add counts a stream that began or ended.
func (f *followers) add(host string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[host] += change
	if f.streams[host] <= 0 {
		delete(f.streams, host)
	}
	f.onFollowed(len(f.streams) > 0)
}

// retell says again whether there are any.
func (f *followers) retell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onFollowed(len(f.streams) > 0)
}

// list returns the hosts that follow this one, and how many streams are of
// hosts that did not say who they are.
func (f *followers) list() (hosts []string, unnamed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts = slices.DeleteFunc(slices.Collect(maps.Keys(f.streams)), func(host string) bool { return host == "" })
	return hosts, f.streams[""]
}

// censusEvery is the time between two counts of the hosts, censusTimeout how
// long the others have to say who follows them.
const (
	censusEvery   = 10 * time.Second
	censusTimeout = 2 * time.Second
)

// takeCensus counts the hosts until ctx ends, while this host reads the store
// for others, and removes the records of those that are gone.
func (r *registry) takeCensus(ctx context.Context) {
	var census scatter.Census
	for ctx.Err() == nil {
		pause(ctx, censusEvery)
		r.count(ctx, &census, time.Now())
	}
}

func (r *registry) count(ctx context.Context, census *scatter.Census, now time.Time) {
	defer r.panics.caught("registry", "", nil)
	p := r.current.Load()
	if !p.reads() || !r.readsStore() {
		census.Doubt()
		return
	}
	present, certain := r.presentHosts(ctx, p)
	gone, found := census.Count(now, p.ranked, present, certain)
	if !found {
		return
	}
	attempt, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	if _, err := r.peers.ping(attempt, gone.Address); err == nil {
		census.Seen(gone.ID) // it follows nobody
		return
	}
	if err := platform.RemoveHost(attempt, r.objects, gone); err != nil {
		census.Seen(gone.ID)
		r.log.Warn().Str("event", "forget_failed").Str("peer", string(gone.ID)).AnErr("cause", err).Msg("its record stays")
		return
	}
	r.log.Info().Str("event", "host_forgotten").Str("peer", string(gone.ID)).Int("present", len(present)).Msg("its record is removed")
}

// presentHosts returns the hosts that follow one of those that others may
// follow, and these. Certain says that all of them answered.
func (r *registry) presentHosts(ctx context.Context, p *plan) (present map[core.HostID]bool, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	present, certain = map[core.HostID]bool{p.self.ID: true}, true
	take := func(hosts []string, unnamed int) {
		for _, id := range hosts {
			present[core.HostID(id)] = true
		}
		certain = certain && unnamed == 0
	}
	take(r.followers.list())
	for _, h := range p.ranked[:min(len(p.ranked), candidates+1)] {
		if h.ID == p.self.ID {
			continue
		}
		reply, err := r.askFollowers(ctx, h)
		if err != nil {
			r.log.Debug().Str("event", "census_incomplete").Str("peer", string(h.ID)).AnErr("cause", err).Msg("it does not say who follows it")
			certain = false
			continue
		}
		present[h.ID] = true
		take(reply.Hosts, int(reply.Unnamed))
	}
	return present, certain
}

func (r *registry) askFollowers(ctx context.Context, h scatter.Host) (*edgepb.FollowersReply, error) {
	client, err := r.peers.client(h.Address)
	if err != nil {
		return nil, err
	}
	return client.Followers(ctx, &edgepb.FollowersRequest{})
}
