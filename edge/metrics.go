package edge

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// latencySampleSize and latencySampleAlpha configure the latency histogram's
// exponentially decaying reservoir, which favors the last five minutes.
const (
	latencySampleSize  = 1028
	latencySampleAlpha = 0.015
)

// hostMetrics holds the host's counters and histograms.
type hostMetrics struct {
	registry       metrics.Registry
	latency        latency
	answersCut     metrics.Counter
	inboxFull      metrics.Counter
	unreadRequests metrics.Counter
	panics         metrics.Counter
	logDropped     metrics.Counter
	outcomes       map[scatter.Outcome]metrics.Counter
}

// latency is a histogram of microseconds.
type latency struct{ histogram metrics.Histogram }

// UpdateSince records the time since started.
func (l latency) UpdateSince(started time.Time) {
	l.histogram.Update(time.Since(started).Microseconds())
}

func newHostMetrics() *hostMetrics {
	r := metrics.NewRegistry()
	m := &hostMetrics{
		registry:       r,
		latency:        latency{metrics.NewRegisteredHistogram("request_us", r, metrics.NewExpDecaySample(latencySampleSize, latencySampleAlpha))},
		answersCut:     metrics.NewRegisteredCounter("answers_cut", r),
		inboxFull:      metrics.NewRegisteredCounter("inbox_full", r),
		unreadRequests: metrics.NewRegisteredCounter("requests_unread", r),
		panics:         metrics.NewRegisteredCounter("panics", r),
		logDropped:     metrics.NewRegisteredCounter("log_lines_dropped", r),
		outcomes:       map[scatter.Outcome]metrics.Counter{},
	}
	for o := scatter.Succeeded; o <= scatter.Withheld; o++ {
		m.outcomes[o] = metrics.NewRegisteredCounter("attempts_"+metricName(o.String()), r)
	}
	return m
}

// metricName replaces spaces by underscores.
func metricName(text string) string {
	name := []byte(text)
	for i, c := range name {
		if c == ' ' {
			name[i] = '_'
		}
	}
	return string(name)
}

// writeText writes all metrics, one per line, sorted by name.
func (m *hostMetrics) writeText(w io.Writer) {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("samphirebeam_%s %d", name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("samphirebeam_%s %d", name, metric.Value()))
		case metrics.Histogram:
			s := metric.Snapshot()
			lines = append(lines, fmt.Sprintf("samphirebeam_%s_count %d", name, s.Count()))
			for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
				lines = append(lines, fmt.Sprintf("samphirebeam_%s{quantile=\"%g\"} %.0f", name, q, s.Percentile(q)))
			}
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		_, _ = fmt.Fprintln(w, line) // the reader may leave early
	}
}

// serveMetrics serves the host's metrics and the core's counters.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var stats scatter.Stats
	var running int
	var version uint64
	var rollouts scatter.RolloutStats
	if !h.decision.query(func(e *scatter.Engine) {
		stats, running, version = e.Stats(), e.Running(), e.Version()
		rollouts = e.RolloutStats()
	}) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	opened, open := h.sender.pool.counts()
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, h.metrics.registry).Update(value)
	}
	set("calls_running", int64(running))
	set("config_version", int64(version))
	set("upstream_connections", int64(open))
	set("upstream_connections_opened", int64(opened))
	set("store_calls", int64(h.objects.Calls()))
	for purpose, calls := range h.objects.CallsByPurpose() {
		set("store_calls_"+purpose.String(), int64(calls))
	}
	set("clients_connections", int64(h.frontend.conns.count()))
	set("clients_memory_bytes", h.frontend.memory.Used())
	set("hosts_connections", int64(h.peerConns.count()))
	set("hosts_memory_bytes", h.peerConns.memory.Used())
	for name, value := range map[string]uint64{
		"requests": stats.Requests, "answered": stats.Answered, "gathered": stats.Gathered, "partial": stats.Partial,
		"refused": stats.Refused, "failed": stats.Failed, "timed_out": stats.TimedOut, "no_route": stats.NoRoute, "unauthorized": stats.Unauthorized,
		"sends": stats.Sends, "relayed": stats.Relayed, "hedges": stats.Hedges, "retries": stats.Retries, "extra_denied": stats.ExtraDenied,
		"late_replies": stats.Late, "callers_gone": stats.CallersGone,
		"questions_suspected": stats.Accused, "questions_quarantined": stats.Quarantined, "quarantine_refused": stats.QuarantineRefused,
		"limited_sends": stats.LimitedSends, "limited_relayed": stats.LimitedRelayed, "limited_extra": stats.LimitedExtra,
		"attempts_failed_direct": stats.DirectFailures, "attempts_failed_relayed": stats.RelayedFailures,
		"partitions": stats.Partitions, "upstreams_limited": stats.Limited, "limit_refused": stats.LimitRefused,
		"capacity_changes": stats.Capacity.Changes, "capacity_bounded": stats.Capacity.Bounded, "capacity_trials": stats.Capacity.Trials,
		"capacity_hedges_withheld": stats.Capacity.HedgesWithheld,
		"quota_asked":              stats.QuotaAsked, "quota_granted": stats.QuotaGranted, "quota_denied": stats.QuotaDenied,
		"over_quota": stats.OverQuota, "quota_fallbacks": stats.QuotaFallbacks,
		"rollout_sends": rollouts.Sends, "rollouts_completed": rollouts.Completed, "rollouts_reverted": rollouts.Reverted,
		"rollouts_halted": rollouts.Halted, "rollouts_running": rollouts.Running,
	} {
		set(name, int64(value))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.metrics.writeText(w)
}
