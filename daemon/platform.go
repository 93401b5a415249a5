package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/ring"
)

// Limits and intervals of the platform client.
const (
	platformWorkers   = 16
	platformBatchSize = 64
	watchBackoffMin   = 100 * time.Millisecond
	watchBackoffMax   = 5 * time.Second
	watchChangePause  = 10 * time.Millisecond
)

// platformClient makes the platform calls that the core requests.
type platformClient struct {
	store        platform.Store
	calls        *ring.Ring[core.Action]
	report       func(core.Event)
	log          zerolog.Logger
	timeout      time.Duration
	watchTimeout time.Duration
	ctx          context.Context
	workerSlots  chan struct{}
	wg           sync.WaitGroup
	watches      map[string]context.CancelFunc // used by the goroutine of run only
}

// run processes calls until the ring is closed and empty, then cancels all
// watches.
func (p *platformClient) run() {
	defer p.wg.Wait()
	defer p.cancelWatches()
	batch := make([]core.Action, 0, platformBatchSize)
	for {
		batch = p.calls.Drain(batch[:0])
		for _, action := range batch {
			p.dispatch(action)
		}
		if len(batch) > 0 {
			continue
		}
		if p.calls.Closed() {
			return
		}
		<-p.calls.Ready()
	}
}

func (p *platformClient) dispatch(action core.Action) {
	switch a := action.(type) {
	case core.WatchObject:
		p.watch(a)
	case core.PlatformCall:
		p.runAsync(func() { p.report(p.call(a)) })
	case core.ListHosts:
		p.runAsync(p.listHosts)
	}
}

// runAsync runs one call in a goroutine of its own. It blocks while
// platformWorkers calls are running; further calls then wait in the ring.
func (p *platformClient) runAsync(call func()) {
	p.workerSlots <- struct{}{}
	p.wg.Go(func() {
		defer func() { <-p.workerSlots }()
		call()
	})
}

func (p *platformClient) call(c core.PlatformCall) core.PlatformReply {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = p.timeout
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	reply := core.PlatformReply{Operation: c.Operation}
	var err error
	switch c.Op {
	case core.PlatformGet:
		var object platform.Object
		object, err = p.store.Get(ctx, c.Key)
		reply.Version, reply.Value = object.Version, object.Value
	case core.PlatformPut:
		reply.Version, err = p.store.Put(ctx, c.Key, c.Value, c.Version)
	case core.PlatformDelete:
		err = p.store.Delete(ctx, c.Key, c.Version)
	}
	reply.Kind = replyKind(err)
	if reply.Kind == core.UnknownName {
		reply.Version = core.Position{Era: platform.EraOf(err)}.Version()
	}
	if err != nil {
		p.log.Debug().Err(err).Str("key", c.Key).Stringer("kind", reply.Kind).Msg("platform call failed")
	}
	return reply
}

// replyKind maps an error to one of the kinds that core.PlatformReply allows.
func replyKind(err error) core.Kind {
	switch kind := platform.KindOf(err); kind {
	case core.OK, core.Conflict, core.UnknownName:
		return kind
	default:
		return core.PlatformUnavailable
	}
}

func (p *platformClient) listHosts() {
	ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
	defer cancel()
	hosts, err := p.store.Hosts(ctx)
	if err != nil {
		p.log.Debug().Err(err).Msg("host list failed")
		return
	}
	p.report(core.HostListed{Hosts: hosts})
}

// watch starts or cancels the watch of a key.
func (p *platformClient) watch(w core.WatchObject) {
	if cancel := p.watches[w.Key]; cancel != nil {
		if w.On {
			return
		}
		cancel()
		delete(p.watches, w.Key)
		return
	}
	if !w.On {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.watches[w.Key] = cancel
	p.wg.Go(func() { p.watchLoop(ctx, w.Key) })
}

func (p *platformClient) cancelWatches() {
	for _, cancel := range p.watches {
		cancel()
	}
}

// watchLoop reports each newer version of an object until ctx is done.
func (p *platformClient) watchLoop(ctx context.Context, key string) {
	var version uint64
	backoff := watchBackoffMin
	for ctx.Err() == nil {
		started := time.Now()
		object, changed, err := p.store.Watch(ctx, key, version, p.watchTimeout)
		if err != nil {
			p.log.Debug().Err(err).Str("key", key).Msg("watch failed")
			sleepContext(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, watchBackoffMax)
			continue
		}
		backoff = watchBackoffMin
		if !changed {
			if time.Since(started) < watchBackoffMin {
				sleepContext(ctx, watchBackoffMin) // nothing to watch, in a compacted history
			}
			continue
		}
		version = object.Version
		p.report(core.PlatformChanged{Key: key, Version: object.Version, Value: object.Value})
		sleepContext(ctx, watchChangePause)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
