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

// followers counts the open streams of each host that follows this one.
type followers struct {
	// onChange is called with whether this host has followers, after each
	// change.
	onChange func(bool)

	mu      sync.Mutex
	streams map[string]int // by host; an unnamed host counts under ""
}

func newFollowers() *followers { return &followers{streams: map[string]int{}} }

// add adds change, 1 or -1, to the number of a host's streams.
func (f *followers) add(host string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[host] += change
	if f.streams[host] <= 0 {
		delete(f.streams, host)
	}
	f.onChange(len(f.streams) > 0)
}

// redeliver reports again whether this host has followers.
func (f *followers) redeliver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange(len(f.streams) > 0)
}

// list returns the hosts that follow this one, and the number of streams of
// hosts that sent no name.
func (f *followers) list() (hosts []string, unnamed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts = slices.DeleteFunc(slices.Collect(maps.Keys(f.streams)), func(host string) bool { return host == "" })
	return hosts, f.streams[""]
}

// staleCheckInterval is the interval at which a reader looks for stale host
// records; staleCheckTimeout bounds the calls to other hosts in one check.
const (
	staleCheckInterval = 10 * time.Second
	staleCheckTimeout  = 2 * time.Second
)

// removeStaleHosts removes the records of absent hosts until ctx ends, while
// this host reads the store for others.
func (r *registry) removeStaleHosts(ctx context.Context) {
	var expiry scatter.HostExpiry
	for ctx.Err() == nil {
		pause(ctx, staleCheckInterval)
		r.checkStaleHosts(ctx, &expiry, time.Now())
	}
}

// checkStaleHosts updates expiry with the hosts that are present now, and
// removes at most one record.
func (r *registry) checkStaleHosts(ctx context.Context, expiry *scatter.HostExpiry, now time.Time) {
	defer r.panics.recoverPanic("registry", "", nil)
	p := r.current.Load()
	if !p.isReader() || !r.storeReadersUp() {
		expiry.Reset()
		return
	}
	present, certain := r.presentHosts(ctx, p)
	absent, found := expiry.Update(now, p.ranked, present, certain)
	if !found {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, staleCheckTimeout)
	defer cancel()
	if _, err := r.peers.ping(callCtx, absent.Address); err == nil {
		expiry.MarkPresent(absent.ID) // it is up but follows no host
		return
	}
	if err := platform.RemoveHost(platform.WithPurpose(callCtx, platform.PurposeExpiry), r.objects, absent); err != nil {
		expiry.MarkPresent(absent.ID)
		r.log.Warn().Str("event", "forget_failed").Str("peer", string(absent.ID)).AnErr("cause", err).Msg("removing the record of an absent host failed")
		return
	}
	r.log.Info().Str("event", "host_forgotten").Str("peer", string(absent.ID)).Int("present", len(present)).Msg("removed the record of an absent host")
}

// presentHosts returns the candidates for readers that answered, and all hosts
// that follow this host or one of them. certain is true if every candidate
// answered and every follower is named.
func (r *registry) presentHosts(ctx context.Context, p *plan) (present map[core.HostID]bool, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, staleCheckTimeout)
	defer cancel()
	present, certain = map[core.HostID]bool{p.self.ID: true}, true
	add := func(hosts []string, unnamed int) {
		for _, id := range hosts {
			present[core.HostID(id)] = true
		}
		certain = certain && unnamed == 0
	}
	add(r.followers.list())
	for _, h := range p.ranked[:min(len(p.ranked), scatter.StoreCandidates+1)] {
		if h.ID == p.self.ID {
			continue
		}
		reply, err := r.fetchFollowers(ctx, h)
		if err != nil {
			r.log.Debug().Str("event", "census_incomplete").Str("peer", string(h.ID)).AnErr("cause", err).Msg("requesting the followers of a host failed")
			certain = false
			continue
		}
		present[h.ID] = true
		add(reply.Hosts, int(reply.Unnamed))
	}
	return present, certain
}

// fetchFollowers requests the list of hosts that follow h.
func (r *registry) fetchFollowers(ctx context.Context, h scatter.Host) (*edgepb.FollowersReply, error) {
	client, err := r.peers.client(h.Address)
	if err != nil {
		return nil, err
	}
	return client.Followers(ctx, &edgepb.FollowersRequest{})
}
