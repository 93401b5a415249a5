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
	// checkTimeout ends a check of an upstream, after which nothing is known.
	checkTimeout = 300 * time.Millisecond
	// suspectsTimeout ends a call that stores this host's record, suspectsRetry
	// is the pause after one that failed: together less than the time in which a
	// host that is in touch with the store has to be heard.
	suspectsTimeout = 700 * time.Millisecond
	suspectsRetry   = 300 * time.Millisecond
)

// check finds out whether anything listens at an upstream's address. No request
// is sent.
func (s *sender) check(target scatter.Upstream) scatter.CheckResult {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	raw, err := s.dialer.DialContext(ctx, "tcp", target.Address)
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

// check tells the core what became of an upstream.
func (h *Host) check(target scatter.Upstream) {
	go func() {
		checked := scatter.UpstreamChecked{Upstream: target.Start()}
		defer func() { h.enqueue(checked) }()
		defer h.panics.recoverPanic("check", "", nil)
		checked.Result = h.sender.check(target)
	}()
}

// suspectWriter is the duty that stores what this host has found of questions,
// for all hosts.
type suspectWriter struct {
	record *platform.SuspectRecord
	log    zerolog.Logger
	panics *panicHandler
	wake   chan struct{}

	mu     sync.Mutex
	latest *scatter.SuspectReport // nil once it is stored
}

func newSuspectWriter(record *platform.SuspectRecord, log zerolog.Logger, p *panicHandler) *suspectWriter {
	return &suspectWriter{record: record, log: log, panics: p, wake: make(chan struct{}, 1)}
}

// put has a report stored in place of the one before.
func (w *suspectWriter) submit(report *scatter.SuspectReport) {
	w.mu.Lock()
	w.latest = report
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // it is awake
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
		for !w.store(ctx) && ctx.Err() == nil {
			pause(ctx, suspectsRetry)
		}
	}
}

// store returns whether the newest report is stored.
func (w *suspectWriter) store(ctx context.Context) (stored bool) {
	defer w.panics.recoverPanic("suspects", "", nil)
	w.mu.Lock()
	report := w.latest
	w.mu.Unlock()
	if report == nil {
		return true
	}
	attempt, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	if err := w.record.Store(attempt, report.Suspects); err != nil {
		w.log.Warn().Str("event", "suspects_not_stored").Int("questions", len(report.Suspects)).AnErr("cause", err).Msg("other hosts are not told yet")
		return false
	}
	w.log.Info().Str("event", "suspects_stored").Int("questions", len(report.Suspects)).Msg("all hosts are told")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latest == report {
		w.latest = nil
	}
	return w.latest == nil
}
