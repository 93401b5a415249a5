package upstreamstub

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Stub runs the upstreams of one Config.
type Stub struct {
	order []*upstream
	byID  map[string]*upstream
}

// New starts the upstreams.
func New(cfg Config) (*Stub, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Stub{byID: map[string]*upstream{}}
	indexes := newIndexCache(cfg.Seed)
	for i, spec := range cfg.Upstreams {
		u, err := start(spec, hash(cfg.Seed, uint64(i)), indexes)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.order = append(s.order, u)
		s.byID[spec.ID] = u
	}
	return s, nil
}

// Address returns the "ip:port" of an upstream, or "" if there is none with the
// id.
func (s *Stub) Address(id string) string {
	if u := s.byID[id]; u != nil {
		return u.address
	}
	return ""
}

// Close stops all upstreams.
func (s *Stub) Close() {
	for _, u := range s.order {
		u.close()
	}
}

// ServeHTTP serves POST /control and GET /stats; ?detail=1 adds the runs by
// query and by question.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/stats":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Stats(r.URL.Query().Has("detail")))
	case r.Method == http.MethodPost && r.URL.Path == "/control":
		s.serveControl(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Stub) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Control(control); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Control changes the behaviour of some upstreams. A field that is left out
// changes nothing.
type Control struct {
	// Upstreams lists the ids of the upstreams to change; empty selects all.
	Upstreams []string `json:"upstreams,omitempty"`
	// Crash resets all connections of the upstream. It restarts cold after its
	// RestartTime, with a new instance id.
	Crash bool  `json:"crash,omitempty"`
	Drain *bool `json:"drain,omitempty"`
	// Slow multiplies all service times.
	Slow            *float64 `json:"slow,omitempty"`
	StragglerEvery  *int     `json:"straggler_every,omitempty"`
	StragglerFactor *float64 `json:"straggler_factor,omitempty"`
	// Each of these counts applies to that many of the next requests: the
	// connection is reset after the request was read, or after it has run; the
	// answer carries the id of another attempt, is sent twice, is sent LateByMs
	// after the run, has the status 500, or is malformed.
	CutAfterRead int `json:"cut_after_read,omitempty"`
	CutAfterRun  int `json:"cut_after_run,omitempty"`
	Crossed      int `json:"crossed,omitempty"`
	Duplicate    int `json:"duplicate,omitempty"`
	Late         int `json:"late,omitempty"`
	LateByMs     int `json:"late_by_ms,omitempty"`
	Fail         int `json:"fail,omitempty"`
	Garble       int `json:"garble,omitempty"`
	// CutIdle resets the idle connections.
	CutIdle bool `json:"cut_idle,omitempty"`
	// Health overrides the answer of the health endpoint with "ok", "draining" or
	// "down"; "true" restores the actual state, which lags by HealthLag.
	Health      string       `json:"health,omitempty"`
	AddVersion  *VersionSpec `json:"add_version,omitempty"`
	DropVersion uint64       `json:"drop_version,omitempty"`
}

// Control applies a change.
func (s *Stub) Control(c Control) error {
	chosen := s.order
	if len(c.Upstreams) > 0 {
		chosen = nil
		for _, id := range c.Upstreams {
			u := s.byID[id]
			if u == nil {
				return eris.Errorf("no upstream %q", id)
			}
			chosen = append(chosen, u)
		}
	}
	for _, u := range chosen {
		u.apply(c)
	}
	return nil
}

func (u *upstream) apply(c Control) {
	u.mu.Lock()
	defer u.mu.Unlock()
	setIfPresent(&u.draining, c.Drain)
	setIfPresent(&u.slowFactor, c.Slow)
	setIfPresent(&u.spec.StragglerEvery, c.StragglerEvery)
	setIfPresent(&u.spec.StragglerFactor, c.StragglerFactor)
	u.faults.add(c)
	if c.Health != "" {
		u.healthOverride = c.Health
	}
	if c.AddVersion != nil {
		u.addVersion(*c.AddVersion)
	}
	delete(u.versions, c.DropVersion)
	if c.CutIdle {
		u.resetIdle()
	}
	if c.Crash {
		u.crash()
	}
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// faults counts by kind the faults that are still to be applied to requests.
type faults struct {
	cutAfterRead, cutAfterRun, crossed, duplicate, late, fail, garble int

	lateBy time.Duration
}

func (f *faults) add(c Control) {
	f.cutAfterRead += c.CutAfterRead
	f.cutAfterRun += c.CutAfterRun
	f.crossed += c.Crossed
	f.duplicate += c.Duplicate
	f.late += c.Late
	f.fail += c.Fail
	f.garble += c.Garble
	if c.LateByMs > 0 {
		f.lateBy = time.Duration(c.LateByMs) * time.Millisecond
	}
}

// takeFault decrements the count of a fault and reports whether it was above 0.
func takeFault(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func parseUint(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
