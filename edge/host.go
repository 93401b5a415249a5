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
	// storeConnections is the most connections to the store: one a feed, one for
	// registering and one for what this host suspects.
	storeConnections = 7
	// lingerShare of the time until the kill, callers' open connections are
	// served on; the rest is for requests that still run.
	lingerShare = 0.65
	// finishShare of the time until the kill, everything ends.
	finishShare = 0.93
	// pingTimeout ends a ping, long after its answer mattered.
	pingTimeout = time.Second
	// bodyShare of the process's memory is for the large bodies of all requests
	// and answers under way. The heap limit leaves room for it twice.
	bodyShare = 0.25
)

// Host is one running host.
type Host struct {
	settings Settings
	place    platform.HostSettings
	log      zerolog.Logger
	logs     io.Closer
	meters   *meters
	panics   *panics
	inbox    *ring.Ring[input]
	decision *decision
	front    *front
	sender   *sender
	objects  *platform.Objects
	peers    *peers
	relays   *relayLinks
	registry *registry
	suspects *suspectWriter
	server   *grpc.Server // for other hosts
	notes    *noteWriter
	ready    atomic.Bool
	stopping atomic.Bool
	version  atomic.Uint64 // of the configuration in force
	stopped  chan struct{} // closed when other hosts have to turn elsewhere
	ending   chan struct{} // closed when the streams of other hosts end
	duties   sync.WaitGroup

	callers, readiness, control, admin net.Listener
}

// New opens the host's addresses and makes its duties, which Run starts.
func New(settings Settings, place platform.HostSettings, out io.Writer) (*Host, error) {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	h := &Host{
		settings: settings,
		place:    place,
		meters:   newMeters(),
		inbox:    ring.New[input](inboxSize),
		objects:  platform.NewObjects(place.Store, storeConnections),
		peers:    newPeers(),
		stopped:  make(chan struct{}),
		ending:   make(chan struct{}),
	}
	h.log, h.logs = newLog(out, level, string(place.Host), string(place.Domain), func(missed int) {
		h.meters.logDropped.Inc(int64(missed))
	})
	h.panics = &panics{log: h.log, count: h.meters.panics}
	h.notes = newNoteWriter(h.log)
	memory := platform.NewMemory(int64(bodyShare * float64(place.MemoryBytes)))
	h.sender = newSender(h.report, memory, h.panics)
	h.relays = newRelayLinks(h.peers, h.panics, func(r scatter.Replied) {
		h.sender.untrack(r.Attempt)
		h.report(r)
	})
	h.front = newFront(h.offer, h.meters, memory, h.panics)
	self := scatter.Host{ID: place.Host, Domain: place.Domain, Address: place.Control, Power: place.Power}
	h.registry = newRegistry(h.objects, h.peers, h.log, h.panics, self, place.Seeds, h.deliver)
	h.registry.contact = place.Contact
	h.registry.firstStart = place.FirstStart
	h.registry.onHeard = func(id core.HostID) { h.offer(scatter.HostHeard{ID: id}) }
	h.registry.followers.onFollowed = func(followed bool) { h.report(scatter.Followed{ByOthers: followed}) }
	h.registry.onSilent = func(report scatter.HostsSilent) { h.offer(report) }
	h.registry.onReachable = func(up bool) { h.report(scatter.StoreReachable{Reachable: up}) }
	h.suspects = newSuspectWriter(platform.NewSuspectRecord(h.objects, place.Host), h.log, h.panics)
	h.server = newPeerServer(h)
	h.decision = &decision{core: h.newCore(), inbox: h.inbox, perform: h.perform, renew: h.renewCore}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) newCore() *scatter.Engine {
	return scatter.New(scatter.Options{
		Self:    h.place.Host,
		Domain:  h.place.Domain,
		Regions: h.place.Regions,
		Extra: scatter.ExtraLimits{
			Ratio: h.place.RetryRatio, Allowance: h.place.RetryAllowance, Window: h.place.RetryWindow,
		},
		AnswerMargin: h.settings.AnswerMargin,
		Relay:        h.settings.RelayParts,
		Hosts:        h.settings.AssumedHosts,
		FirstStart:   h.place.FirstStart,
		Random:       rand.Float64,
	})
}

// renewCore puts a new core in the place of one that met an unexpected error.
// Calls under way get their final answer at once, and what the new core has to
// know is told to it as at a start.
func (h *Host) renewCore(old *scatter.Engine, during scatter.Event, cause any) *scatter.Engine {
	arrived, arrives := during.(scatter.Arrived)
	h.panics.note("decision", arrived.RequestID, cause)
	for _, call := range old.Unanswered() {
		if !arrives || call != arrived.Call {
			h.front.answer(scatter.Answer{Call: call, Kind: scatter.UpstreamsFailed})
		}
	}
	if arrives {
		// What its step decided was not carried out.
		h.front.answer(scatter.Answer{Call: arrived.Call, Kind: scatter.Refused, RetryAfter: fullRetry})
	}
	go h.registry.retell()
	return old.Successor()
}

// listen opens the addresses for callers, for the readiness check and, if one
// is set, for metrics.
func (h *Host) listen() (err error) {
	if h.callers, err = net.Listen("tcp", h.place.Callers); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if h.readiness, err = net.Listen("tcp", h.place.Readiness); err != nil {
		return eris.Wrap(err, "listen for readiness checks")
	}
	if h.control, err = net.Listen("tcp", h.place.Control); err != nil {
		return eris.Wrap(err, "listen for hosts")
	}
	if h.settings.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(h.place.IP, strconv.Itoa(h.settings.MetricsPort))
	if h.admin, err = net.Listen("tcp", address); err != nil {
		// The port is this product's choice, and may be taken on some platform.
		h.log.Warn().Str("event", "metrics_unavailable").AnErr("cause", err).Msg("serving without metrics")
		h.admin = nil
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callers, h.readiness, h.control, h.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// report hands the core an event that must not be lost.
func (h *Host) report(event scatter.Event) { h.inbox.PutWait(input{event: event}) }

// deliver hands the core what a feed brought.
func (h *Host) deliver(news platform.EventBatch) {
	for _, event := range news.Events {
		h.report(event)
	}
}

// offer hands the core an event; false means that there is no room.
func (h *Host) offer(event scatter.Event) bool { return h.inbox.Put(input{event: event}) }

// perform carries out what the core decided.
func (h *Host) perform(now time.Time, actions *scatter.Actions) {
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
	for _, call := range actions.CallsGone {
		if p := h.front.find(call); p != nil {
			for _, end := range p.endHandovers {
				end()
			}
		}
	}
	for _, host := range actions.Probes {
		h.probe(host)
	}
	if actions.Silent != nil {
		h.registry.silent.set(actions.Silent.Hosts)
	}
	for _, target := range actions.Checks {
		h.check(target)
	}
	if actions.Suspects != nil {
		h.suspects.put(actions.Suspects)
	}
	for _, answer := range actions.Answers {
		h.front.answer(answer)
	}
	for _, note := range actions.Notes {
		h.notes.write(now, note)
		if note.Decision == scatter.DecisionConfig {
			if limits, known := h.decision.core.Limits(); known {
				h.front.limit(limits)
			}
		}
	}
	h.followCore(now)
}

func (h *Host) send(send scatter.Send) {
	if p := h.front.find(send.Call); p != nil {
		h.sender.send(send, p.request.Forward)
		return
	}
	// The caller left; the core learns of it by a later event.
	go h.report(scatter.Replied{Attempt: send.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
}

// relay lets another host carry out sends of one call.
func (h *Host) relay(sends []scatter.Send) {
	if p := h.front.find(sends[0].Call); p != nil {
		h.relays.relay(sends, p.request, func(cancel func()) { h.sender.track(sends, cancel) })
		return
	}
	for _, send := range sends {
		go h.report(scatter.Replied{Attempt: send.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
	}
}

// handOver has another host answer a call.
func (h *Host) handOver(handover scatter.Handover) {
	p := h.front.find(handover.Call)
	if p == nil {
		return // the caller left; the core learns of it by a later event
	}
	ctx, cancel := context.WithDeadline(p.ctx, handover.Deadline)
	p.endHandovers = append(p.endHandovers, cancel)
	go func() {
		defer cancel()
		ended := scatter.HandoverEnded{Call: handover.Call, To: handover.To.ID, Outcome: scatter.Lost, Cause: "unexpected error"}
		defer h.panics.caught("handover", p.request.ID, func() { h.report(ended) })
		ended = h.peers.runAt(ctx, handover, p.request)
		if ctx.Err() == nil {
			h.report(ended)
		}
		// Otherwise the call ended here, by its caller or its deadline, and the
		// end says nothing of the other host.
	}()
}

// probe asks a host whether it is there. No answer is told by nothing.
func (h *Host) probe(host scatter.Host) {
	go func() {
		defer h.panics.caught("probe", "", nil)
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		withdrawn, err := h.peers.ping(ctx, host.Address)
		if err != nil {
			h.log.Debug().Str("event", "host_silent").Str("peer", string(host.ID)).AnErr("cause", err).Msg("no answer to a ping")
			return
		}
		h.report(scatter.HostHeard{ID: host.ID, Withdrawn: withdrawn})
	}()
}

// followCore passes on what the core's beliefs mean for the other duties.
func (h *Host) followCore(now time.Time) {
	c := h.decision.core
	h.version.Store(c.Version())
	if !h.ready.Load() && c.Serves() {
		h.ready.Store(true)
		h.log.Info().Str("event", "ready").Str("role", c.Role().String()).Uint64("config_version", c.Version()).Msg("requests can be answered")
	}
	h.front.withdrawn.Store(c.Withdrawn())
	current := h.registry.current.Load()
	if ranked, active := c.Ranked(), c.Active(now); active != current.active || len(ranked) > 0 && !sameHosts(ranked, current.ranked) {
		h.registry.current.Store(&plan{self: current.self, ranked: ranked, active: active})
	}
}

// sameHosts compares two rankings that the core returned: it makes a new one
// for each change.
func sameHosts(a, b []scatter.Host) bool {
	return len(a) == len(b) && &a[0] == &b[0]
}

// Run serves until ctx ends, then stops without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	h.log.Info().Str("event", "start").Str("callers", h.place.Callers).Str("store", h.place.Store).Msg("the host starts")
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	failed := make(chan error, 1)
	h.startDuties(duties, failed)
	var err error
	select {
	case <-ctx.Done():
		h.stop(stopDuties)
	case err = <-failed:
		h.log.Error().Str("event", "duty_failed").AnErr("cause", err).Msg("the host stops at once")
		stopDuties()
		h.relays.close()
	}
	h.closeListeners()
	h.inbox.Close()
	_ = h.logs.Close()
	return err
}

func (h *Host) startDuties(ctx context.Context, failed chan<- error) {
	serve := func(run func() error) {
		go func() {
			if err := run(); err != nil {
				select {
				case failed <- err:
				default: // the first failure is the one to report
				}
			}
		}()
	}
	h.duties.Go(h.decision.run)
	h.duties.Go(func() { h.sender.sweep(ctx) })
	h.duties.Go(func() { h.front.closeIdle(ctx) })
	h.duties.Go(func() { h.registry.run(ctx) })
	h.duties.Go(func() { h.suspects.run(ctx) })
	serve(func() error { return h.server.Serve(h.control) })
	serve(func() error { return h.front.run(h.callers) })
	serve(func() error { return h.serveUntilClosed(h.readiness, http.HandlerFunc(h.serveReady)) })
	if h.admin != nil {
		router := chi.NewRouter()
		router.Get("/metrics", h.serveMetrics)
		serve(func() error { return h.serveUntilClosed(h.admin, router) })
	}
}

func (h *Host) serveUntilClosed(listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: fallbackHeaderTimeout, IdleTimeout: fallbackIdleTimeout,
		MaxHeaderBytes: fallbackHeaderBytes, ErrorLog: h.panics.standardLog("admin"),
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// serveReady answers the platform's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "0")
	if !h.ready.Load() || h.stopping.Load() || h.front.withdrawn.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop is the planned stop. The host is out of rotation at once, serves on
// while callers that have it still come, and ends what runs.
func (h *Host) stop(stopDuties context.CancelFunc) {
	started := time.Now()
	h.stopping.Store(true)
	h.front.stopping.Store(true)
	close(h.stopped)
	h.log.Info().Str("event", "stopping").Dur("within", h.place.StopWithin).Msg("planned stop")
	time.Sleep(time.Duration(lingerShare * float64(h.place.StopWithin)))
	end := started.Add(time.Duration(finishShare * float64(h.place.StopWithin)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := h.front.server.Shutdown(ctx); err != nil {
		h.log.Warn().Str("event", "stop_incomplete").AnErr("cause", err).Msg("requests still run")
	}
	close(h.ending)
	stopServer(ctx, h.server)
	stopDuties()
	h.relays.close()
	h.peers.close()
	h.log.Info().Str("event", "stopped").Dur("after", time.Since(started)).Msg("the host ends")
}

// stopServer lets the calls of other hosts end, at most until ctx ends.
func stopServer(ctx context.Context, server *grpc.Server) {
	ended := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		server.Stop()
	}
}

// Reload takes the platform's settings again; only those that the host can
// change while it runs have an effect, of which there are none yet.
func (h *Host) Reload(place platform.HostSettings) {
	h.log.Info().Str("event", "reload").Bool("changed", !reflect.DeepEqual(place, h.place)).Msg("settings read again")
}
