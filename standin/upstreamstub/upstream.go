package upstreamstub

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// upstream is one simulated upstream.
type upstream struct {
	spec    Spec
	address string
	indexes *indexCache
	server  *http.Server
	slots   chan struct{} // holds one token for each running request

	mu             sync.Mutex
	random         *rand.Rand
	instance       string
	starts         int
	downUntil      time.Time
	budget         ColdBudget
	draining       bool
	slowFactor     float64
	waiting        int
	running        int
	conns          map[net.Conn]http.ConnState
	versions       map[uint64]heldVersion
	faults         faults
	healthOverride string
	actualHealth   laggedState
	lastAttempt    string
	attempts       map[string]int
	queryRuns      map[string]int
	questionRuns   map[string]int
	stats          Stats
}

// heldVersion is an index version with the key ranges that an upstream serves.
type heldVersion struct {
	index  *Index
	ranges []KeyRange
}

// indexCache shares index versions between the upstreams of a Stub.
type indexCache struct {
	seed uint64
	mu   sync.Mutex
	all  map[string]*Index
}

func newIndexCache(seed uint64) *indexCache { return &indexCache{seed: seed, all: map[string]*Index{}} }

func (x *indexCache) get(v VersionSpec) *Index {
	x.mu.Lock()
	defer x.mu.Unlock()
	name := fmt.Sprint(v.Version, v.Items, v.Space)
	if x.all[name] == nil {
		x.all[name] = NewIndex(x.seed, v.Version, v.Items, v.Space)
	}
	return x.all[name]
}

func start(spec Spec, seed uint64, indexes *indexCache) (*upstream, error) {
	listener, err := net.Listen("tcp", spec.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "upstream %s", spec.ID)
	}
	u := &upstream{
		spec:         spec,
		address:      listener.Addr().String(),
		indexes:      indexes,
		slots:        make(chan struct{}, spec.Slots),
		random:       rand.New(rand.NewPCG(seed, 1)),
		slowFactor:   1,
		conns:        map[net.Conn]http.ConnState{},
		versions:     map[uint64]heldVersion{},
		attempts:     map[string]int{},
		queryRuns:    map[string]int{},
		questionRuns: map[string]int{},
	}
	u.budget = NewColdBudget(spec.Cold, spec.Slots, u.fullRate())
	u.newInstance()
	u.budget.cold = u.budget.cold && spec.Cold.StartsCold
	for _, v := range spec.Versions {
		u.addVersion(v)
	}
	u.server = &http.Server{Handler: u, ConnState: u.onConnState}
	go func() { _ = u.server.Serve(&limitedListener{Listener: listener, upstream: u}) }()
	return u, nil
}

// fullRate returns the capacity of the warm upstream in requests per second.
func (u *upstream) fullRate() float64 {
	mean := (u.spec.ServiceMin + u.spec.ServiceMean).Seconds()
	return float64(u.spec.Slots) / max(mean, 0.001)
}

func (u *upstream) close() { _ = u.server.Close() }

func (u *upstream) addVersion(v VersionSpec) {
	u.versions[v.Version] = heldVersion{u.indexes.get(v), v.Ranges}
}

func (u *upstream) newInstance() {
	u.starts++
	u.instance = fmt.Sprintf("%s-%d", u.spec.ID, u.starts)
	u.budget.Restart(time.Now())
	u.actualHealth.set("ok")
}

// crash resets all connections. The upstream restarts cold after RestartTime.
// The caller holds the lock.
func (u *upstream) crash() {
	u.stats.Crashes++
	u.downUntil = time.Now().Add(u.spec.RestartTime)
	u.newInstance()
	u.budget.Restart(u.downUntil)
	for c := range u.conns {
		reset(c.(*delayedConn).Conn)
	}
}

func (u *upstream) resetIdle() {
	for c, state := range u.conns {
		if state == http.StateIdle {
			reset(c.(*delayedConn).Conn)
		}
	}
}

// accept reports whether a new connection is accepted, and counts it.
func (u *upstream) accept(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().Before(u.downUntil) {
		return false
	}
	if len(u.conns) >= u.spec.Connections {
		u.stats.OverConnections++
		return false
	}
	u.conns[c] = http.StateNew
	u.stats.PeakConnections = max(u.stats.PeakConnections, len(u.conns))
	return true
}

func (u *upstream) onConnState(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(u.conns, c)
		return
	}
	u.conns[c] = state
}

// limitedListener enforces the connection limit. While the upstream is down it
// keeps the port and resets new connections.
type limitedListener struct {
	net.Listener
	upstream *upstream
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &delayedConn{Conn: raw, delay: l.upstream.spec.ConnectDelay}
		if l.upstream.accept(c) {
			return c, nil
		}
		reset(raw)
	}
}

// delayedConn delays its first read.
type delayedConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

func (c *delayedConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(b)
}

// laggedState is a state whose changes become visible after a lag.
type laggedState struct {
	current, previous string
	changedAt         time.Time
}

func (l *laggedState) set(state string) {
	if l.current != state {
		l.previous, l.current, l.changedAt = l.current, state, time.Now()
	}
}

func (l *laggedState) visible(lag time.Duration) string {
	if l.previous != "" && time.Since(l.changedAt) < lag {
		return l.previous
	}
	return l.current
}
