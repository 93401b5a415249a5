package edge

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// checkTimeout bounds a check of an upstream; one that times out has no
	// result.
	checkTimeout = 300 * time.Millisecond
	// suspectsTimeout bounds a call that stores this host's record. The interval at
	// which a refused one is repeated is below the contact time, within which other
	// hosts have to receive the record once the store is reachable.
	suspectsTimeout = 700 * time.Millisecond
	// suspectsConflictDelay is the delay after the store has answered with another
	// revision of the record, which the next call uses.
	suspectsConflictDelay = 300 * time.Millisecond
)

// check opens a TCP connection to find out whether a process listens at an
// upstream's address. It sends no request.
func (s *sender) check(target scatter.Upstream) scatter.CheckResult {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	raw, err := s.dial(ctx, "tcp", target.Address)
	switch {
	case err == nil:
		_ = raw.Close()
		return scatter.UpstreamListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return scatter.UpstreamRefuses
	default:
		return scatter.CheckFailed
	}
}

// check checks an upstream in the background and reports the result to the
// core.
func (h *Host) check(check scatter.Check) {
	go func() {
		checked := scatter.UpstreamChecked{Upstream: check.Target.Start(), Round: check.Round}
		defer func() { h.enqueue(checked) }()
		defer h.panics.recoverPanic("check", "", nil)
		checked.Result = h.sender.check(check.Target)
	}()
}

// suspectWriter stores the fingerprints of the requests that this host
// suspects of crashing upstreams. All hosts read them from the store.
type suspectWriter struct {
	record *platform.SuspectRecord
	gate   *storeGate
	log    zerolog.Logger
	panics *panicHandler
	wake   chan struct{}

	mu     sync.Mutex
	latest *scatter.SuspectReport // nil once it is stored
}

func newSuspectWriter(record *platform.SuspectRecord, gate *storeGate, log zerolog.Logger, p *panicHandler) *suspectWriter {
	return &suspectWriter{record: record, gate: gate, log: log, panics: p, wake: make(chan struct{}, 1)}
}

// submit queues a report to be stored; it replaces one that is still queued.
func (w *suspectWriter) submit(report *scatter.SuspectReport) {
	w.mu.Lock()
	w.latest = report
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// run stores reports until ctx ends.
func (w *suspectWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for retry := false; !w.store(ctx, retry) && ctx.Err() == nil; {
			retry = true
		}
	}
}

// store stores the latest report, and reports whether none is left to store.
func (w *suspectWriter) store(ctx context.Context, retry bool) (stored bool) {
	defer w.panics.recoverPanic("suspects", "", nil)
	w.mu.Lock()
	report := w.latest
	w.mu.Unlock()
	if report == nil {
		return true
	}
	err, _ := w.gate.run(ctx, retry, always, suspectsTimeout, func(ctx context.Context) error {
		return w.record.Store(platform.WithPurpose(ctx, platform.PurposeSuspects), report.Suspects)
	})
	if err != nil {
		w.log.Warn().Str("event", "suspects_not_stored").Int("questions", len(report.Suspects)).AnErr("cause", err).Msg("storing the suspected questions failed")
		if !platform.StoreRefused(err) {
			pause(ctx, suspectsConflictDelay)
		}
		return false
	}
	w.log.Info().Str("event", "suspects_stored").Int("questions", len(report.Suspects)).Msg("stored the suspected questions")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == report {
		w.latest = nil
	}
	return w.latest == nil
}
