package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/ring"
)

const (
	// maxStoreConnections allows one connection to the store for each feed, one
	// for registering and one for the suspected fingerprints.
	maxStoreConnections = 7
	// pingTimeout ends a ping. Its answer is of no use long before that.
	pingTimeout = time.Second
)

// Host is one host of the query tier.
type Host struct {
	settings         Settings
	platformSettings platform.HostSettings
	log              zerolog.Logger
	logWriter        io.Closer
	metrics          *hostMetrics
	panics           *panicHandler
	build            string
	inbox            *ring.Ring[input]
	decision         *decisionLoop
	frontend         *frontend
	sender           *sender
	objects          *platform.Objects
	peers            *peers
	quotaReplies     quotaReplies
	relays           *relayLinks
	registry         *registry
	suspects         *suspectWriter
	peerServer       *grpc.Server // serves other hosts
	peerConns        *peerConns
	notes            *noteWriter
	clientLog        *clientLog
	ready            atomic.Bool
	stopping         atomic.Bool
	upstreamLinks    upstreamLinks // published by the core
	configVersion    atomic.Uint64 // version of the configuration in force
	callerLimits     callerLimits
	draining         chan struct{} // closed when other hosts have to stop using this one
	closingStreams   chan struct{} // closed when the streams of other hosts have to end
	workers          sync.WaitGroup

	callerListener, readinessListener, peerListener, metricsListener net.Listener
}

// Option changes how a host is built.
type Option func(*Host)

// WithUpstreamDialer makes the host open its connections to upstreams by dial. The
// connections have to implement syscall.Conn, and SetLinger as a net.TCPConn does.
func WithUpstreamDialer(dial DialFunc) Option { return func(h *Host) { h.sender.dial = dial } }

// WithBuild sets the name of the build that the host logs at its start.
func WithBuild(name string) Option { return func(h *Host) { h.build = name } }

// New opens the host's listeners and creates its workers, which Run starts.
func New(settings Settings, platformSettings platform.HostSettings, out io.Writer, options ...Option) (*Host, error) {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	h := &Host{
		settings:         settings,
		platformSettings: platformSettings,
		metrics:          newHostMetrics(),
		inbox:            ring.New[input](inboxSize),
		objects:          platform.NewObjects(platformSettings.Store, storeConnections(platformSettings.Rollout)),
		peers:            newPeers(),
		draining:         make(chan struct{}),
		closingStreams:   make(chan struct{}),
	}
	h.log, h.logWriter = newLog(out, level, string(platformSettings.Host), string(platformSettings.Domain), func(missed int) {
		h.metrics.logDropped.Inc(int64(missed))
	})
	h.panics = &panicHandler{log: h.log, count: h.metrics.panics}
	h.notes = newNoteWriter(h.log)
	callerMemory, callerConns := callerShares(platformSettings)
	memory := platform.NewMemory(callerMemory)
	h.clientLog = newClientLog(h.log, h.metrics.registry)
	h.sender = newSender(h.enqueue, memory, h.panics)
	h.relays = newRelayLinks(h.peers, h.panics, func(r scatter.AttemptEnded) {
		h.sender.untrack(r.Attempt)
		h.enqueue(r)
	})
	h.frontend = newFrontend(h.tryEnqueue, h.metrics, memory, callerConns, h.clientLog, h.panics)
	self := scatter.Host{ID: platformSettings.Host, Domain: platformSettings.Domain, Address: platformSettings.Control, Cores: platformSettings.Cores}
	h.registry = newRegistry(h.objects, h.peers, h.log, h.panics, self, platformSettings.Seeds, platformSettings.Contact, platformSettings.Rollout.Enabled(), h.deliver)
	h.registry.firstStart = platformSettings.FirstStart
	h.registry.onHostSeen = func(id core.HostID) { h.tryEnqueue(scatter.HostAlive{ID: id}) }
	h.registry.followers.onChange = func(followed bool) { h.enqueue(scatter.Followed{ByOthers: followed}) }
	h.registry.onSilentHosts = func(report scatter.HostsSilent) { h.tryEnqueue(report) }
	h.registry.onCallerLimits = func(report scatter.LimitsReported) { h.tryEnqueue(report) }
	h.registry.onLapsed = func() { h.enqueue(scatter.FeedsLapsed{}) }
	h.registry.onStoreReachable = func(e scatter.StoreReachable) { h.enqueue(e) }
	h.suspects = newSuspectWriter(platform.NewSuspectRecord(h.objects, platformSettings.Host), h.registry.gate, h.log, h.panics)
	h.peerConns = newPeerConns(platformSettings, h.clientLog)
	h.peerServer = newPeerServer(h)
	h.decision = &decisionLoop{core: h.newCore(), inbox: h.inbox, execute: h.execute, replaceCore: h.replaceCore}
	for _, option := range options {
		option(h)
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

// newCore returns the core of a host that starts.
func (h *Host) newCore() *scatter.Engine {
	return scatter.New(scatter.Options{
		Self:    h.platformSettings.Host,
		Domain:  h.platformSettings.Domain,
		Regions: h.platformSettings.Regions,
		Extra: scatter.ExtraLimits{
			Ratio: h.platformSettings.RetryRatio, Allowance: h.platformSettings.RetryAllowance, Window: h.platformSettings.RetryWindow,
		},
		AnswerMargin:  h.settings.AnswerMargin,
		Relay:         h.settings.RelayParts,
		AssumedHosts:  h.settings.AssumedHosts,
		FirstStart:    h.platformSettings.FirstStart,
		Revocation:    h.platformSettings.Revocation,
		Quota:         h.platformSettings.Quota,
		Rollout:       h.platformSettings.Rollout,
		LearnCapacity: h.settings.UpstreamCapacity == CapacityLearned,
		Random:        rand.Float64,
	})
}

// replaceCore returns a new core in place of one that panicked. Calls in flight
// get their final answer at once, and the state of all feeds is delivered to the
// new core as at a start.
func (h *Host) replaceCore(old *scatter.Engine, during scatter.Event, cause any) *scatter.Engine {
	arrived, arrives := during.(scatter.RequestArrived)
	h.panics.record("decision", arrived.RequestID, cause)
	for _, call := range old.Unanswered() {
		if !arrives || call != arrived.Call {
			h.frontend.deliver(scatter.Answer{Call: call, Kind: scatter.UpstreamsFailed})
		}
	}
	if arrives {
		// The actions of the step that panicked were not executed, so the caller
		// may retry.
		h.frontend.deliver(scatter.Answer{Call: arrived.Call, Kind: scatter.Refused, RetryAfter: refusalRetryAfter})
	}
	go h.registry.redeliver()
	return old.Successor()
}

// listen opens the listeners for callers, readiness checks, other hosts and, if
// a port is set, metrics.
func (h *Host) listen() (err error) {
	if h.callerListener, err = net.Listen("tcp", h.platformSettings.Callers); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if h.readinessListener, err = net.Listen("tcp", h.platformSettings.Readiness); err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	if h.peerListener, err = net.Listen("tcp", h.platformSettings.Control); err != nil {
		return eris.Wrap(err, "listen for hosts")
	}
	if h.settings.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(h.platformSettings.IP, strconv.Itoa(h.settings.MetricsPort))
	if h.metricsListener, err = net.Listen("tcp", address); err != nil {
		// The platform does not reserve this port, so another process may use it.
		h.log.Warn().Str("event", "metrics_unavailable").AnErr("cause", err).Msg("serving without metrics")
		h.metricsListener = nil
	}
	return nil
}

// closeListeners closes all listeners that are open.
func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callerListener, h.readinessListener, h.peerListener, h.metricsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// enqueue queues an event for the core, and waits while the inbox is full.
func (h *Host) enqueue(event scatter.Event) { h.inbox.PutWait(input{event: event}) }

// deliver queues the events of a feed's update for the core.
func (h *Host) deliver(batch platform.EventBatch) {
	for _, event := range batch.Events {
		h.enqueue(event)
	}
}

// tryEnqueue queues an event for the core; it returns false if the inbox is
// full.
func (h *Host) tryEnqueue(event scatter.Event) bool { return h.inbox.Put(input{event: event}) }

// execute executes the actions of one step of the core.
func (h *Host) execute(now time.Time, actions *scatter.Actions) {
	direct, relayed := splitRelayed(actions.Sends)
	for _, send := range direct {
		h.send(send)
	}
	for _, sends := range relayed {
		h.relay(sends)
	}
	for _, cancel := range actions.Cancels {
		h.sender.cancel(cancel.Attempt)
	}
	for _, handover := range actions.Handovers {
		h.handOver(handover)
	}
	for _, call := range actions.CancelledHandovers {
		if p := h.frontend.find(call); p != nil {
			for _, cancelHandover := range p.cancelHandovers {
				cancelHandover()
			}
		}
	}
	for _, host := range actions.Probes {
		h.probe(host)
	}
	if actions.Silent != nil {
		h.registry.silentHosts.set(actions.Silent.Hosts)
	}
	for _, check := range actions.Checks {
		h.check(check)
	}
	if actions.Suspects != nil {
		h.suspects.submit(actions.Suspects)
	}
	for _, write := range actions.RolloutWrites {
		h.storeRollout(write)
	}
	for _, report := range actions.RolloutReports {
		h.reportRollout(report)
	}
	for _, end := range actions.LimitEnds {
		h.reportLimitEnd(end)
	}
	h.exchangeQuotas(actions)
	for _, answer := range actions.Answers {
		h.frontend.deliver(answer)
	}
	for _, note := range actions.Notes {
		h.notes.write(now, note)
	}
	h.publishCoreState(now)
}

// send starts an attempt at an upstream.
func (h *Host) send(send scatter.Send) {
	if p := h.frontend.find(send.Call); p != nil {
		h.sender.send(send, p.request.Forward)
		return
	}
	// The caller has disconnected; a later event reports that to the core. The
	// decision goroutine must not wait for its own inbox.
	go h.enqueue(scatter.AttemptEnded{Attempt: send.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
}

// relay has another host carry out sends of one call.
func (h *Host) relay(sends []scatter.Send) {
	if p := h.frontend.find(sends[0].Call); p != nil {
		h.relays.relay(sends, p.request, func(cancel func()) { h.sender.track(sends, cancel) })
		return
	}
	for _, send := range sends {
		go h.enqueue(scatter.AttemptEnded{Attempt: send.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
	}
}

// handOver requests the answer of a call from another host.
func (h *Host) handOver(handover scatter.Handover) {
	p := h.frontend.find(handover.Call)
	if p == nil {
		return // the caller has disconnected; a later event reports that to the core
	}
	ctx, cancel := context.WithDeadline(p.ctx, handover.Deadline)
	p.cancelHandovers = append(p.cancelHandovers, cancel)
	go func() {
		defer cancel()
		ended := scatter.HandoverEnded{Call: handover.Call, To: handover.To.ID, Outcome: scatter.Lost, Cause: "unexpected error"}
		defer h.panics.recoverPanic("handover", p.request.ID, func() { h.enqueue(ended) })
		ended = h.peers.handOver(ctx, handover, p.request)
		if ctx.Err() == nil {
			h.enqueue(ended)
		}
		// Otherwise the caller disconnected or the deadline passed, which is no
		// fault of the other host.
	}()
}

// probe pings a host and reports an answer to the core. A missing answer is not
// reported.
func (h *Host) probe(host scatter.Host) {
	go func() {
		defer h.panics.recoverPanic("probe", "", nil)
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		withdrawn, err := h.peers.ping(ctx, host.Address)
		if err != nil {
			h.log.Debug().Str("event", "host_silent").Str("peer", string(host.ID)).AnErr("cause", err).Msg("no answer to a ping")
			return
		}
		h.enqueue(scatter.HostAlive{ID: host.ID, Withdrawn: withdrawn})
	}()
}

// publishCoreState makes the core's current state available to the other
// workers.
func (h *Host) publishCoreState(now time.Time) {
	c := h.decision.core
	h.configVersion.Store(c.Version())
	if version, limits := c.Limits(); h.callerLimits.set(version, limits) {
		h.frontend.setLimits(limits)
		h.log.Info().Str("event", "caller_limits").Uint64("config_version", version).Int64("max_body_bytes", h.frontend.maxBodyBytes.Load()).
			Int64("max_header_bytes", h.frontend.maxHeaderBytes.Load()).Msg("the limits for callers have changed")
	}
	if !h.ready.Load() && c.Serves() {
		h.ready.Store(true)
		h.log.Info().Str("event", "ready").Str("role", c.Role().String()).Uint64("config_version", c.Version()).Msg("ready to serve requests")
	}
	h.frontend.withdrawn.Store(c.Withdrawn())
	h.upstreamLinks.down.Store(c.Partitioned())
	h.upstreamLinks.openOnly.Store(c.OpenConnectionsMayWork())
	current := h.registry.current.Load()
	h.registry.partitioned.Store(c.Partitioned())
	h.registry.recordOutdated.Store(c.RegistrationOutdated())
	if ranked, active := c.Registered(), c.Active(now); active != current.active || len(ranked) > 0 && !sameHosts(ranked, current.ranked) {
		h.registry.current.Store(&plan{self: current.self, ranked: ranked, active: active})
	}
}

// sameHosts reports whether two rankings from the core are the same slice; the
// core allocates a new one for each change.
func sameHosts(a, b []scatter.Host) bool {
	return len(a) == len(b) && &a[0] == &b[0]
}

// Run serves until ctx ends, then stops gracefully. If a worker fails, Run
// returns its error at once.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info().Str("event", "start").Str("build", h.build).Str("callers", h.platformSettings.Callers).Str("store", h.platformSettings.Store).Msg("starting the host")
	workers, stopWorkers := context.WithCancel(context.Background())
	defer stopWorkers()
	failed := make(chan error, 1)
	h.startWorkers(workers, failed)
	var err error
	select {
	case <-ctx.Done():
		h.stopWithin(exitShare, func(phase *atomic.Value) { h.stop(stopWorkers, phase) })
	case err = <-failed:
		h.log.Error().Str("event", "duty_failed").AnErr("cause", err).Msg("a server failed; stopping at once")
		h.stopWithin(failedExitShare, func(*atomic.Value) {
			stopWorkers()
			h.relays.close()
		})
	}
	return err
}

// startWorkers starts all workers and servers; failed receives the first error
// of a server.
func (h *Host) startWorkers(ctx context.Context, failed chan<- error) {
	runServer := func(run func() error) {
		go func() {
			if err := run(); err != nil {
				select {
				case failed <- err:
				default: // only the first failure is reported
				}
			}
		}()
	}
	h.workers.Go(h.decision.run)
	h.workers.Go(func() { h.sender.sweep(ctx) })
	h.workers.Go(func() { h.frontend.closeIdle(ctx) })
	h.workers.Go(func() { h.registry.run(ctx) })
	h.workers.Go(func() { h.suspects.run(ctx) })
	runServer(func() error { return h.peerServer.Serve(h.peerConns.on(h.peerListener)) })
	runServer(func() error { return h.frontend.run(h.callerListener) })
	runServer(func() error {
		return h.serveUntilClosed("readiness", h.readinessListener, http.HandlerFunc(h.serveReady))
	})
	if h.metricsListener != nil {
		router := chi.NewRouter()
		router.Get("/metrics", h.serveMetrics)
		router.Post("/explain", h.serveExplain)
		runServer(func() error { return h.serveUntilClosed("metrics", h.metricsListener, router) })
	}
}

// serveUntilClosed serves HTTP on a listener until it is closed.
func (h *Host) serveUntilClosed(port string, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: fallbackHeaderTimeout, IdleTimeout: fallbackIdleTimeout,
		ReadTimeout: fallbackHeaderTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: adminHeaderBytes, ErrorLog: h.panics.standardLog("admin"), ConnState: setConnState,
	}
	conns := newClientConns(port, connectionShare(h.platformSettings, adminDescriptorShare), platform.NewMemory(adminMemoryBytes),
		func() int64 { return adminHeaderBytes }, h.clientLog)
	listener = conns.on(listener)
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// serveReady answers the platform's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "0")
	if !h.ready.Load() || h.stopping.Load() || h.frontend.withdrawn.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload accepts the platform's settings after a change. No setting can change
// at run time yet, so it only logs whether any differ.
func (h *Host) Reload(platformSettings platform.HostSettings) {
	h.log.Info().Str("event", "reload").Bool("changed", !reflect.DeepEqual(platformSettings, h.platformSettings)).Msg("reloaded the platform settings")
}
