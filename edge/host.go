package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/ring"
)

const (
	// storeConnections is the most connections to the store: one a watch and
	// one for heartbeats.
	storeConnections = 5
	// lingerShare of the time until the kill, callers' open connections are
	// served on; the rest is for requests that still run.
	lingerShare = 0.65
	// finishShare of the time until the kill, everything ends.
	finishShare = 0.93
)

// Host is one running host.
type Host struct {
	settings Settings
	place    platform.HostSettings
	log      zerolog.Logger
	logs     io.Closer
	meters   *meters
	inbox    *ring.Ring[input]
	decision *decision
	front    *front
	sender   *sender
	objects  *platform.Objects
	notes    *noteWriter
	ready    atomic.Bool
	stopping atomic.Bool
	duties   sync.WaitGroup

	callers, readiness, admin net.Listener
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
	}
	h.log, h.logs = newLog(out, level, string(place.Host), string(place.Domain), func(missed int) {
		h.meters.logDropped.Inc(int64(missed))
	})
	h.notes = newNoteWriter(h.log)
	h.sender = newSender(h.report)
	h.front = newFront(h.offer, h.meters)
	h.decision = &decision{core: h.newCore(), inbox: h.inbox, perform: h.perform}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) newCore() *scatter.Engine {
	return scatter.New(scatter.Options{
		Self:   h.place.Host,
		Domain: h.place.Domain,
		Extra: scatter.ExtraLimits{
			Ratio: h.place.RetryRatio, Allowance: h.place.RetryAllowance, Window: h.place.RetryWindow,
		},
		AnswerMargin: h.settings.AnswerMargin,
		Hosts:        h.settings.AssumedHosts,
		Random:       rand.Float64,
	})
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
	if h.settings.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(h.place.IP, strconv.Itoa(h.settings.MetricsPort))
	if h.admin, err = net.Listen("tcp", address); err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.callers, h.readiness, h.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// report hands the core an event that must not be lost.
func (h *Host) report(event scatter.Event) { h.inbox.PutWait(input{event: event}) }

// offer hands the core an event; false means that there is no room.
func (h *Host) offer(event scatter.Event) bool { return h.inbox.Put(input{event: event}) }

// perform carries out what the core decided.
func (h *Host) perform(now time.Time, actions *scatter.Actions) {
	for _, send := range actions.Sends {
		forward := h.front.forward(send.Call)
		if forward == nil {
			// The caller left; the core learns of it by the next event.
			go h.report(scatter.Replied{Attempt: send.Attempt, Outcome: scatter.Unreached, Cause: "the caller left"})
			continue
		}
		h.sender.send(send, forward)
	}
	for _, cancel := range actions.Cancels {
		h.sender.cancel(cancel.Attempt)
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
	if !h.ready.Load() && h.decision.core.Ready() {
		h.ready.Store(true)
		h.log.Info().Str("event", "ready").Uint64("config_version", h.decision.core.Version()).Msg("requests can be answered")
	}
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
	h.follow(ctx)
	serve(func() error { return h.front.run(h.callers) })
	serve(func() error { return serveUntilClosed(h.readiness, http.HandlerFunc(h.serveReady)) })
	if h.admin != nil {
		router := chi.NewRouter()
		router.Get("/metrics", h.serveMetrics)
		serve(func() error { return serveUntilClosed(h.admin, router) })
	}
}

// follow starts the duties that read the store.
func (h *Host) follow(ctx context.Context) {
	upstreams := &follower{feed: platform.UpstreamFeed(h.objects), report: h.report, log: h.log}
	upstreams.reachable = func(up bool) { h.report(scatter.StoreReachable{Reachable: up}) }
	followers := []*follower{
		{feed: platform.ConfigFeed(h.objects), report: h.report, log: h.log},
		upstreams,
		{feed: platform.DomainFeed(h.objects), report: h.report, log: h.log},
	}
	for _, f := range followers {
		h.duties.Go(func() { f.run(ctx) })
	}
	members := &roster{objects: h.objects, report: h.report, log: h.log, self: platform.HostRecord{
		Host: h.place.Host, Domain: h.place.Domain, Address: h.place.Control, Incarnation: uint64(time.Now().UnixMicro()),
	}}
	h.duties.Go(func() { members.run(ctx) })
}

func serveUntilClosed(listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: fallbackHeaderTimeout, IdleTimeout: fallbackIdleTimeout}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// serveReady answers the platform's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "0")
	if !h.ready.Load() || h.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop is the planned stop. The host is out of rotation at once, serves on
// while callers that have it still come, and ends what runs.
func (h *Host) stop(stopDuties context.CancelFunc) {
	started := time.Now()
	h.stopping.Store(true)
	h.front.stopping.Store(true)
	h.log.Info().Str("event", "stopping").Dur("within", h.place.StopWithin).Msg("planned stop")
	time.Sleep(time.Duration(lingerShare * float64(h.place.StopWithin)))
	end := started.Add(time.Duration(finishShare * float64(h.place.StopWithin)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := h.front.server.Shutdown(ctx); err != nil {
		h.log.Warn().Str("event", "stop_incomplete").AnErr("cause", err).Msg("requests still run")
	}
	stopDuties()
	h.log.Info().Str("event", "stopped").Dur("after", time.Since(started)).Msg("the host ends")
}

// Reload takes the platform's settings again; only those that the host can
// change while it runs have an effect, of which there are none yet.
func (h *Host) Reload(place platform.HostSettings) {
	h.log.Info().Str("event", "reload").Bool("changed", place != h.place).Msg("settings read again")
}
