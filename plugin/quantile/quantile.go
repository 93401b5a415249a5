// Package quantile provides a hedger whose delay is an observed quantile of a
// service's latency, multiplied by a factor. At 0.95 and a factor of 1 about one
// sub-query in twenty is hedged.
package quantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirebeam/samphirebeam/core"
)

// The histograms cover 100 us to 2 minutes with one significant digit; values are
// recorded in multiples of unit.
const (
	unit              = 100 * time.Microsecond
	maxTime           = 2 * time.Minute
	significantDigits = 1
)

const defaultFactor = 1.5

// refreshEvery is the number of observations after which a delay is recomputed.
const refreshEvery = 16

// Options are the settings of a Quantile.
type Options struct {
	// Quantile is the quantile of the latency used as delay, from 0 to 1.
	Quantile float64
	// Window is the number of observations per histogram window. The delay is
	// computed from the current window and the one before it.
	Window int
	// MinObservations is the number of observations that a service needs
	// before its own quantile is used, and that all services need together
	// before any sub-query is hedged.
	MinObservations int
	// Factor multiplies the quantile. An attempt only slightly slower than most
	// usually completes before a hedge sent at the quantile would. 0 selects
	// the default.
	Factor float64
	// Floor is the minimum delay.
	Floor time.Duration
}

// Quantile is a core.Hedger.
type Quantile struct {
	options  Options
	services map[core.ServiceID]*window
	// all holds the observations of all services. It is used for a service
	// that has too few of its own.
	all *window
}

// window holds the observations of the current and the previous window. When the
// current one is full, the previous one is dropped, so observations age by count
// and not by time.
type window struct {
	counts       *hdrhistogram.WindowedHistogram
	total        int
	current      int
	delay        time.Duration
	ready        bool
	sinceRefresh int
}

// New returns a Quantile without observations.
func New(o Options) *Quantile {
	if o.Factor == 0 {
		o.Factor = defaultFactor
	}
	return &Quantile{options: o, services: map[core.ServiceID]*window{}, all: newWindow()}
}

func newWindow() *window {
	return &window{counts: hdrhistogram.NewWindowed(2, 1, int64(maxTime/unit), significantDigits)}
}

// Observe records the latency of a sub-query.
func (q *Quantile) Observe(service core.ServiceID, took time.Duration) {
	w := q.services[service]
	if w == nil {
		w = newWindow()
		q.services[service] = w
	}
	took = min(max(took, unit), maxTime)
	q.record(w, took)
	q.record(q.all, took)
}

func (q *Quantile) record(w *window, took time.Duration) {
	if w.current == q.options.Window {
		w.counts.Rotate()
		w.total = w.current
		w.current = 0
	}
	// The value is within the histogram's range, so this cannot fail.
	_ = w.counts.Current.RecordValue(int64(took / unit))
	w.total++
	w.current++
	w.sinceRefresh++
	if w.sinceRefresh >= refreshEvery || !w.ready {
		q.refresh(w)
	}
}

// Delay returns the hedging delay of a service. Until the service has
// MinObservations, the delay of all services together is used; it is false
// until those have MinObservations as well.
func (q *Quantile) Delay(service core.ServiceID) (time.Duration, bool) {
	w := q.services[service]
	if w == nil || !w.ready {
		w = q.all
	}
	return w.delay, w.ready
}

func (q *Quantile) refresh(w *window) {
	if w.total < q.options.MinObservations {
		return
	}
	w.ready = true
	w.sinceRefresh = 0
	at := w.counts.Merge().ValueAtQuantile(100 * q.options.Quantile)
	delay := q.options.Factor * float64(at) * float64(unit)
	w.delay = max(q.options.Floor, time.Duration(delay))
}
