package daemon

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirebeam/samphirebeam/core"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "samphirebeam_"

// quantiles are the exported quantiles of timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// metricSet holds the metrics of a host. Times are exported in seconds.
type metricSet struct {
	registry metrics.Registry
	step     metrics.Timer
	answers  map[core.Kind]metrics.Counter
	replies  map[core.Kind]metrics.Counter
	latency  metrics.Timer
}

func newMetricSet() *metricSet {
	m := &metricSet{
		registry: metrics.NewRegistry(),
		answers:  map[core.Kind]metrics.Counter{},
		replies:  map[core.Kind]metrics.Counter{},
	}
	m.step = metrics.GetOrRegisterTimer("decision_step_seconds", m.registry)
	m.latency = metrics.GetOrRegisterTimer("caller_answer_seconds", m.registry)
	for _, kind := range core.Kinds() {
		m.answers[kind] = metrics.GetOrRegisterCounter(fmt.Sprintf("caller_answers_total{kind=%q}", kind), m.registry)
		m.replies[kind] = metrics.GetOrRegisterCounter(fmt.Sprintf("upstream_replies_total{kind=%q}", kind), m.registry)
	}
	return m
}

// gauge registers a metric whose value is read when the metrics are served.
func (m *metricSet) gauge(name string, read func() int64) {
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(read))
}

func count(counters map[core.Kind]metrics.Counter, kind core.Kind) {
	counter := counters[kind]
	if counter == nil {
		counter = counters[core.Internal]
	}
	counter.Inc(1)
}

// writeText writes all metrics in the Prometheus text format.
func (m *metricSet) writeText(w io.Writer) {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(metricPrefix+name, metric)...)
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// writeCounters writes the counters of the decision core. It omits them if the
// decision loop does not answer in time.
func (d *Daemon) writeCounters(w io.Writer, r *http.Request) {
	if d.cfg.Counters == nil {
		return
	}
	answered := make(chan map[string]uint64, 1)
	if err := d.askWithTimeout(r, func(decider Decider) { answered <- d.cfg.Counters(decider) }); err != nil {
		return
	}
	counters := <-answered
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		_, _ = fmt.Fprintf(w, "%s%s %d\n", metricPrefix, name, counters[name])
	}
}

func formatMetric(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		return formatTimer(name, m.Snapshot())
	default:
		return nil
	}
}

// formatTimer formats the count and the quantiles of a timer. The quantiles
// cover recent samples only, in seconds.
func formatTimer(name string, t metrics.Timer) []string {
	lines := []string{fmt.Sprintf("%s_count %d", name, t.Count())}
	for i, value := range t.Percentiles(quantiles) {
		seconds := time.Duration(value).Seconds()
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", name, quantiles[i], seconds))
	}
	return lines
}
