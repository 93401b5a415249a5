package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3
	timelineInterval  = time.Second
)

// Outcome is the result of one request.
type Outcome struct {
	// Intended is when the request was due to be sent; Ended is when its answer
	// arrived or the request failed.
	Intended, Ended time.Time
	// Kind is the name of the error kind, or OK.
	Kind string
	// Coverage is the fraction of the scope that a search covered.
	Coverage float64
	// Attempts is the number of sub-queries sent; Extra is how many of them
	// were hedges or retries.
	Attempts, Extra int
	Search          bool
}

// Good reports whether the request succeeded and, for a search, covered its
// whole scope.
func (o Outcome) Good() bool {
	return o.Kind == "OK" && (!o.Search || o.Coverage >= 1)
}

// Recorder aggregates outcomes. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	start    time.Time
	latency  *hdrhistogram.Histogram // microseconds, good answers
	kinds    map[string]int
	good     int
	attempts int
	extra    int
	searches int
	coverage float64
	seconds  []secondStats
}

type secondStats struct {
	latency         *hdrhistogram.Histogram
	sent, good      int
	searches        int
	coverage        float64
	attempts, extra int
}

// NewRecorder returns a Recorder for requests that are due at start or later.
func NewRecorder(start time.Time) *Recorder {
	return &Recorder{start: start, latency: newHistogram(), kinds: map[string]int{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// Record adds one outcome. Outcomes of the warm-up, due before start, are
// dropped.
func (r *Recorder) Record(o Outcome) {
	if o.Intended.Before(r.start) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[o.Kind]++
	r.attempts += o.Attempts
	r.extra += o.Extra
	s := r.secondAt(o.Intended)
	s.sent++
	s.attempts += o.Attempts
	s.extra += o.Extra
	if o.Search {
		r.searches++
		r.coverage += o.Coverage
		s.searches++
		s.coverage += o.Coverage
	}
	if !o.Good() {
		return
	}
	s.good++
	r.good++
	latency := min(o.Ended.Sub(o.Intended), maxLatency).Microseconds()
	_ = r.latency.RecordValue(latency) // cannot fail: maxLatency is in range
	_ = s.latency.RecordValue(latency)
}

func (r *Recorder) secondAt(at time.Time) *secondStats {
	index := int(at.Sub(r.start) / timelineInterval)
	for len(r.seconds) <= index {
		r.seconds = append(r.seconds, secondStats{latency: newHistogram()})
	}
	return &r.seconds[index]
}

// Summary is the result of measuring one policy set.
type Summary struct {
	Policy string `json:"policy"`
	// The quantiles cover good answers only; latency is measured from the
	// intended send time.
	P50Ms    float64        `json:"p50_ms"`
	P99Ms    float64        `json:"p99_ms"`
	P999Ms   float64        `json:"p999_ms"`
	Sent     int            `json:"sent"`
	Good     int            `json:"good"`
	Kinds    map[string]int `json:"kinds"`
	Coverage float64        `json:"coverage"`
	// ExtraLoad is the number of extra attempts over that of all others.
	ExtraLoad float64   `json:"extra_load"`
	Upstreams Upstreams `json:"upstreams"`
	Cost      Cost      `json:"cost"`
	Timeline  []Point   `json:"timeline"`
	// LastWorkMs maps each failure domain that was taken out to the time from
	// the accepted change to the last start of new work on its upstreams.
	LastWorkMs map[string]float64 `json:"last_work_ms,omitempty"`
}

// Upstreams sums the counters of the upstream stand-ins.
type Upstreams struct {
	Requests int `json:"requests"`
	Shed     int `json:"shed"`
	Falls    int `json:"falls"`
	// OverSlots counts upstreams whose peak concurrency exceeded their slots.
	OverSlots int `json:"over_slots"`
	// OverConnections counts upstreams that reset connections above their limit.
	OverConnections int `json:"over_connections"`
	// RunTwice counts at-most-once requests that ran more than once.
	RunTwice int `json:"run_twice"`
}

// Point is one second of the timeline.
type Point struct {
	Second    int     `json:"second"`
	Sent      int     `json:"sent"`
	Good      int     `json:"good"`
	P50Ms     float64 `json:"p50_ms"`
	P99Ms     float64 `json:"p99_ms"`
	Coverage  float64 `json:"coverage"`
	ExtraLoad float64 `json:"extra_load"`
}

// Summary returns the results recorded so far.
func (r *Recorder) Summary(policy string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Policy:    policy,
		P50Ms:     quantileMs(r.latency, 50),
		P99Ms:     quantileMs(r.latency, 99),
		P999Ms:    quantileMs(r.latency, 99.9),
		Good:      r.good,
		Kinds:     r.kinds,
		Coverage:  ratio(r.coverage, r.searches),
		ExtraLoad: ratio(float64(r.extra), r.attempts-r.extra),
	}
	for _, n := range r.kinds {
		s.Sent += n
	}
	for i := range r.seconds {
		s.Timeline = append(s.Timeline, r.seconds[i].point(i))
	}
	return s
}

func (s *secondStats) point(index int) Point {
	return Point{
		Second:    index,
		Sent:      s.sent,
		Good:      s.good,
		P50Ms:     quantileMs(s.latency, 50),
		P99Ms:     quantileMs(s.latency, 99),
		Coverage:  ratio(s.coverage, s.searches),
		ExtraLoad: ratio(float64(s.extra), s.attempts-s.extra),
	}
}

func quantileMs(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

func ratio(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
