// Package daemon runs one host: it connects the decision core to callers, peers,
// upstreams and the platform. The decision core, the platform client and the
// record log run in goroutines of their own, which communicate through bounded
// queues.
package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerlink"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/ring"
	"github.com/samphirebeam/samphirebeam/settings"
	"github.com/samphirebeam/samphirebeam/upstream"
)

// Config configures a host.
type Config struct {
	Settings settings.Settings
	// Incarnation is the start time of this process in Unix microseconds.
	Incarnation uint64
	// NewCore creates the decision core once the peer address is known.
	NewCore func(self core.HostInfo) (Decider, error)
	Store   platform.Store
	// NewOperator creates the handler of the resource API. It may be nil.
	NewOperator func(Port) http.Handler
	// Status returns the core's state as a value that can be encoded as JSON. It
	// is called on the decision loop and may be nil.
	Status func(Decider) any
	// Counters returns the core's counters by metric name, without prefix. It is
	// called on the decision loop and may be nil.
	Counters func(Decider) map[string]uint64
	// Ready reports whether the core can answer callers. It is called on the
	// decision loop. If it is nil, the core is always ready.
	Ready func(Decider) bool
	Log   io.Writer
}

// Port is the interface of the running host that the resource API uses.
type Port interface {
	// Report passes an event to the decision core.
	Report(core.Event)
	// Ask runs a function on the decision loop and waits until it returns.
	Ask(context.Context, func(Decider)) error
}

// Daemon is one running host.
type Daemon struct {
	cfg       Config
	log       zerolog.Logger
	metrics   *metricSet
	inbox     *ring.Ring[input]
	decision  *decisionLoop
	calls     *calls
	link      *peerlink.Link
	upstreams *upstream.HTTP
	platform  *platformClient
	records   *records
	servers   servers
	wg        sync.WaitGroup
	stopping  atomic.Bool
	stopped   chan struct{} // closed when the core has stopped
}

// New opens all listeners and prepares the host. Run starts it.
func New(cfg Config) (*Daemon, error) {
	log, err := newLogger(cfg)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		cfg:     cfg,
		log:     log,
		metrics: newMetricSet(),
		inbox:   ring.New[input](cfg.Settings.Ring.Inbox),
		records: newRecords(cfg.Settings.Ring.Records, log),
		stopped: make(chan struct{}),
	}
	d.calls = newCalls(d.inbox)
	d.upstreams = upstream.NewHTTP(upstream.Config{
		Report:         d.reportUpstream,
		ConnectTimeout: cfg.Settings.Upstream.ConnectTimeout,
		MaxBody:        cfg.Settings.Upstream.MaxBodyBytes,
	})
	d.platform = d.newPlatformClient()
	if err := d.listen(); err != nil {
		d.closeAll(context.Background())
		return nil, err
	}
	if err := d.newDecisionLoop(); err != nil {
		d.closeAll(context.Background())
		return nil, err
	}
	d.registerGauges()
	return d, nil
}

func newLogger(cfg Config) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Settings.Log.Level)
	if err != nil {
		return zerolog.Logger{}, eris.Wrap(err, "log level")
	}
	return zerolog.New(cfg.Log).Level(level).With().
		Timestamp().
		Str("host", cfg.Settings.Host).
		Str("failure_domain", cfg.Settings.FailureDomain).
		Logger(), nil
}

func (d *Daemon) newPlatformClient() *platformClient {
	return &platformClient{
		store:        d.cfg.Store,
		calls:        ring.New[core.Action](d.cfg.Settings.Ring.Platform),
		report:       d.Report,
		log:          d.log,
		timeout:      d.cfg.Settings.Platform.Timeout,
		watchTimeout: d.cfg.Settings.Platform.WatchTimeout,
		ctx:          context.Background(),
		workerSlots:  make(chan struct{}, platformWorkers),
		watches:      map[string]context.CancelFunc{},
	}
}

// listen starts the peer service and opens the HTTP listeners.
func (d *Daemon) listen() error {
	creds, err := loadCredentials(d.cfg.Settings.Peer.TLS)
	if err != nil {
		return err
	}
	peer := d.cfg.Settings.Peer
	d.link, err = peerlink.Listen(peerlink.Config{
		Host:              core.HostID(d.cfg.Settings.Host),
		Incarnation:       d.cfg.Incarnation,
		Address:           peer.Address,
		Queue:             peer.Queue,
		Batch:             peer.Batch,
		ConnectTimeout:    peer.ConnectTimeout,
		BackoffMin:        peer.BackoffMin,
		BackoffMax:        peer.BackoffMax,
		Delay:             peer.OneWayDelay,
		ServerCredentials: creds.server,
		ClientCredentials: creds.client,
		Receive:           d.receivePeer,
		Lost:              d.peerLost,
	})
	if err != nil {
		return err
	}
	return d.listenHTTP()
}

func (d *Daemon) newDecisionLoop() error {
	decider, err := d.cfg.NewCore(d.self())
	if err != nil {
		return eris.Wrap(err, "create decision core")
	}
	addresses := newAddresses(d.link.SetAddress)
	d.decision = &decisionLoop{
		self:         core.HostID(d.cfg.Settings.Host),
		core:         decider,
		inbox:        d.inbox,
		perform:      d.perform,
		observeEvent: addresses.observe,
		observeStep:  d.metrics.step.Update,
	}
	for _, seed := range Seeds(d.cfg.Settings) {
		addresses.update(seed.Host, address{0, seed.Address})
	}
	return nil
}

// self returns the description of this host that its peers receive.
func (d *Daemon) self() core.HostInfo {
	address := d.cfg.Settings.Peer.Advertise
	if address == "" {
		address = d.link.Address()
	}
	return core.HostInfo{
		Host:    core.HostID(d.cfg.Settings.Host),
		Address: address,
		Domain:  core.DomainID(d.cfg.Settings.FailureDomain),
	}
}

// Run runs the host until ctx is done or an HTTP server fails, then makes the
// planned stop. It returns an error if a server failed or the stop exceeded its
// timeout.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.startRecords(); err != nil {
		return err
	}
	var decisions sync.WaitGroup
	decisions.Go(d.decision.run)
	d.wg.Go(d.platform.run)
	failed := d.servers.start()
	d.log.Info().
		Str("peer", d.link.Address()).
		Str("caller", d.servers.caller.address).
		Str("operator", d.servers.operator.address).
		Str("admin", d.servers.admin.address).
		Msg("started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	err = errors.Join(err, d.stop())
	decisions.Wait()
	d.finishRecords()
	d.log.Info().Err(err).Msg("ended")
	return err
}

// Reload handles a request to read the settings again. No setting can change while the
// host runs, so it only logs that.
func (d *Daemon) Reload() {
	d.log.Info().Str("event", "reload").Msg("the settings take effect at the next start")
}

func (d *Daemon) startRecords() error {
	messages, err := d.records.subscribe()
	if err != nil {
		return eris.Wrap(err, "subscribe to records")
	}
	d.wg.Go(d.records.run)
	d.wg.Go(func() { d.records.writeLog(messages) })
	return nil
}

func (d *Daemon) finishRecords() {
	d.records.queue.Close()
	d.wg.Wait()
}

// stop makes the planned stop. The core finishes its work and hands the rest
// over; callers are refused for the linger time; then all connections are closed
// and the decision loop ends.
func (d *Daemon) stop() error {
	d.log.Info().Msg("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Settings.Stop.Timeout)
	defer cancel()
	d.Report(core.StopRequested{})
	var err error
	select {
	case <-d.stopped:
		d.log.Info().Msg("all work finished and handed over")
		sleepContext(ctx, d.cfg.Settings.Stop.Linger)
	case <-ctx.Done():
		err = eris.Errorf("planned stop exceeded its timeout of %v", d.cfg.Settings.Stop.Timeout)
	}
	d.closeAll(ctx)
	return err
}

// closeAll closes the servers, the links and the clients first and the inbox, to
// which they report, last.
func (d *Daemon) closeAll(ctx context.Context) {
	d.servers.shutdown(ctx)
	if d.link != nil {
		d.link.Close(ctx)
	}
	d.upstreams.Close()
	d.platform.calls.Close()
	d.inbox.Close()
}

// Report passes an event to the decision loop. It blocks while the inbox is full.
func (d *Daemon) Report(event core.Event) { d.inbox.PutWait(input{event: event}) }

func (d *Daemon) receivePeer(from core.HostID, incarnation uint64, m *peerpb.Message) {
	d.Report(core.PeerMessage{From: from, Incarnation: incarnation, Message: m})
}

func (d *Daemon) peerLost(host core.HostID) {
	d.log.Info().Str("peer", string(host)).Stringer("kind", core.HostLost).Msg("stream broke")
	d.Report(core.PeerLost{Host: host})
}

func (d *Daemon) reportUpstream(event core.Event) {
	if reply, ok := event.(core.UpstreamReply); ok {
		count(d.metrics.replies, reply.Kind)
		if line := d.log.Debug(); line.Enabled() {
			line.Str("upstream", string(reply.Upstream)).
				Stringer("attempt", reply.Attempt).
				Stringer("kind", reply.Kind).
				Stringer("ran", reply.Ran).
				Msg("upstream reply")
		}
	}
	d.Report(event)
}

// Ask runs a function on the decision loop and waits until it returns or ctx is
// done.
func (d *Daemon) Ask(ctx context.Context, inspect func(Decider)) error {
	done := make(chan struct{})
	queued := d.inbox.Put(input{inspect: func(decider Decider) {
		defer close(done)
		inspect(decider)
	}})
	if !queued {
		return core.Errorf(core.Overloaded, "the inbox is full or closed")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// askTimeout limits how long a request to the admin API waits for the decision
// loop.
const askTimeout = 2 * time.Second
