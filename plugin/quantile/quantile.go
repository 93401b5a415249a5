// Package quantile is the hedger that waits for an observed quantile of a
// service's times: at 0.95 about one sub-query in twenty is hedged.
package quantile

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirebeam/samphirebeam/core"
)

// The range and precision of the histograms: 100 us to 2 minutes, one digit.
const (
	unit              = 100 * time.Microsecond
	maxTime           = 2 * time.Minute
	significantDigits = 1
)

const defaultFactor = 1.5

// refreshEvery is how many observations a delay may lag behind.
const refreshEvery = 16

// Options are the settings of a Quantile.
type Options struct {
	// Quantile is the part of the sub-queries that are not hedged, 0 to 1.
	Quantile float64
	// Window is how many observations of a service are remembered: between
	// one and two windows count.
	Window int
	// MinObservations is how many observations a service needs before its own quantile
	// counts, and all services together before any is hedged.
	MinObservations int
	// Factor multiplies the quantile: an attempt that is a little slower than
	// most ends sooner by itself than a second one would. 0 is the default.
	Factor float64
	// Floor is the shortest delay.
	Floor time.Duration
}

// Quantile is a core.Hedger.
type Quantile struct {
	options  Options
	services map[core.ServiceID]*window
	// all counts the times of all services; it stands in for one of which too
	// little is known.
	all *window
}

// window holds the newer and the older observations; the older are dropped
// when the newer are full, so that old times fade without a clock.
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

// Observe records the time of a sub-query.
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
	// The time is within the histogram's range, so this cannot fail.
	_ = w.counts.Current.RecordValue(int64(took / unit))
	w.total++
	w.current++
	w.sinceRefresh++
	if w.sinceRefresh >= refreshEvery || !w.ready {
		q.refresh(w)
	}
}

// Delay returns the quantile of the service's times, or of all services' while
// too few are known, or false while too few of these are.
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
