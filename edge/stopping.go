package edge

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// The shares are fractions of the stop period, which ends when the platform kills the
// process.
const (
	// lingerShare is the fraction during which new requests on callers' open
	// connections are still served; the remainder is for requests in flight.
	lingerShare = 0.65
	// finalAnswerShare is the fraction after which all requests in flight get their
	// final answer, shutdownShare the fraction after which their connections are cut
	// off.
	finalAnswerShare = 0.88
	shutdownShare    = 0.93
	// exitShare is the fraction after which the host ends, whatever still runs. The
	// remainder is for a process that gets the processor late.
	exitShare = 0.95
	// failedExitShare bounds the end of a host of which a server failed.
	failedExitShare = 0.2
)

// peerHandshakeTimeout bounds the time until a connection of another host is set up, and
// so the time for which it delays the stop of the server. A host waits for
// peerConnectTimeout.
const peerHandshakeTimeout = time.Second

// stopWithin stops the host by stop, releases what is left and returns, at the latest
// after a fraction of the stop period. What hangs then, such as a log that nobody reads,
// ends with the process.
func (h *Host) stopWithin(share float64, stop func(phase *atomic.Value)) {
	end := time.NewTimer(time.Duration(share * float64(h.platformSettings.StopWithin)))
	defer end.Stop()
	var phase atomic.Value
	phase.Store("workers")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stop(&phase)
		phase.Store("listeners")
		h.closeListeners()
		h.inbox.Close()
		phase.Store("log")
		_ = h.logWriter.Close()
	}()
	select {
	case <-ended:
	case <-end.C:
		h.log.Error().Str("event", "stop_cut").Str("phase", phase.Load().(string)).Msg("the stop did not end in time; the process ends now")
	}
}

// stop is the planned stop. The host fails its readiness check at once, serves
// the requests that still arrive for a while, and then waits for the requests in
// flight.
func (h *Host) stop(stopWorkers context.CancelFunc, phase *atomic.Value) {
	started := time.Now()
	after := func(share float64) time.Time {
		return started.Add(time.Duration(share * float64(h.platformSettings.StopWithin)))
	}
	h.stopping.Store(true)
	h.frontend.stopping.Store(true)
	close(h.draining)
	if stopping := (scatter.Stopping{Until: after(finalAnswerShare)}); !h.tryEnqueue(stopping) {
		go h.enqueue(stopping) // the inbox is full
	}
	h.log.Info().Str("event", "stopping").Dur("within", h.platformSettings.StopWithin).Msg("planned stop")
	phase.Store("linger")
	time.Sleep(time.Until(after(lingerShare)))
	ctx, cancel := context.WithDeadline(context.Background(), after(shutdownShare))
	defer cancel()
	phase.Store("callers")
	if err := h.frontend.server.Shutdown(ctx); err != nil {
		h.log.Warn().Str("event", "stop_incomplete").AnErr("cause", err).Msg("requests were still in flight at the end of the stop period")
	}
	close(h.closingStreams)
	phase.Store("hosts")
	stopServer(ctx, h.peerServer)
	phase.Store("workers")
	stopWorkers()
	h.relays.close()
	h.peers.close()
	h.log.Info().Str("event", "stopped").Dur("after", time.Since(started)).Msg("the host ends")
}

// stopServer waits for the calls of other hosts, and cuts them off when ctx ends. It
// does not wait for that: the server waits for connections that are being set up.
func stopServer(ctx context.Context, server *grpc.Server) {
	ended := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		go server.Stop()
	}
}
