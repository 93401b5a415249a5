package processtest

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// fault is a fault that is injected into a fleet under load.
type fault struct {
	name   string
	inject func(*testing.T, *fleet.Fleet)
	// settle is the time after the fault within which answers must be whole
	// again.
	settle time.Duration
	// lostHost is the index of the host that may leave requests without an
	// answer; -1 stands for none.
	lostHost int
	// maxFailures bounds the number of unsuccessful answers after the fault.
	maxFailures int
}

const steadyLoad = 3 * time.Second

var faults = []fault{
	{"host killed", killHost, 10 * time.Second, 2, 5},
	{"host frozen past its lease", freezeHost, 10 * time.Second, 2, 5},
	{"upstreams paused", pauseUpstreams, 5 * time.Second, -1, 32},
	{"planned stop", stopHost, 5 * time.Second, -1, 5},
	{"signals beside a planned stop", stopUnderSignals, 5 * time.Second, -1, 5},
	{"upstream restarted", crashUpstream, 8 * time.Second, -1, 5},
	{"upstream connections cut", cutConnections, 3 * time.Second, -1, 50},
	{"peer connections broken", breakPeers, 3 * time.Second, -1, 5},
	{"host cut off from its peers", cutPeers, 10 * time.Second, -1, 5},
	{"platform away", disconnectPlatform, time.Second, -1, 5},
}

// TestFaults injects each fault under load. Every answer must be correct at all
// times; no cold upstream may be overloaded; answers must be whole again once
// the fault has settled; only a host that crashed or was frozen may leave
// requests without an answer.
func TestFaults(t *testing.T) {
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) { runFault(t, c) })
	}
}

func runFault(t *testing.T, c fault) {
	layout := fleet.DefaultLayout()
	f := start(t, layout)
	l := startLoad(f, layout.Index(seed))
	time.Sleep(steadyLoad)
	awaitWarm(t, f)
	before := time.Now()
	c.inject(t, f)
	time.Sleep(c.settle)
	settled := time.Now()
	time.Sleep(steadyLoad)
	l.end(t)
	t.Logf("from the fault on: %s", l.summary(before))
	if share := l.wholeFraction(settled); share < 0.99 {
		t.Errorf("after %v only %.3f of the answers are whole: %s%v", c.settle, share, l.summary(settled), l.missing(settled))
	}
	if n := l.failures(before); n > c.maxFailures {
		t.Errorf("%d answers from the fault on are no success: %s", n, l.summary(before))
	}
	for host, n := range l.unanswered(time.Time{}) {
		if host != c.lostHost {
			t.Errorf("%d requests at host %d got no answer", n, host)
		}
	}
	checkUpstreams(t, f, layout)
}

func checkUpstreams(t *testing.T, f *fleet.Fleet, layout fleet.Layout) {
	t.Helper()
	stats, err := f.Stats(false)
	if err != nil {
		t.Fatal(err)
	}
	given, shed := 0, uint64(0)
	for _, s := range stats {
		given = max(given, s.PeakGiven)
		shed += s.Shed
		if s.Falls > 0 {
			t.Errorf("%s fell over %d times in a cold start, last with %s", s.ID, s.Falls, s.LastFall)
		}
		if s.AttemptsTwice > 0 {
			t.Errorf("%s got %d attempts twice", s.ID, s.AttemptsTwice)
		}
		if s.PeakRunning > layout.Upstream.Slots || s.OverConnections > 0 {
			t.Errorf("%s ran %d at once, %d connections too many", s.ID, s.PeakRunning, s.OverConnections)
		}
	}
	t.Logf("an upstream held %d at most, of %d slots; %d shed", given, layout.Upstream.Slots, shed)
}

func killHost(_ *testing.T, f *fleet.Fleet) { f.Hosts[2].Kill() }

func freezeHost(t *testing.T, f *fleet.Fleet) {
	signal(t, f.Hosts[2], syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	signal(t, f.Hosts[2], syscall.SIGCONT)
}

// pauseUpstreams stops all upstreams several times for a little less than the
// callers' deadline, as happens when they get no processor time. Each host sees
// only a few slow queries in flight. Each caller may be refused twice.
func pauseUpstreams(t *testing.T, f *fleet.Fleet) {
	for range 6 {
		if err := f.Standin.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(750 * time.Millisecond)
		if err := f.Standin.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func stopHost(t *testing.T, f *fleet.Fleet) {
	signal(t, f.Hosts[2], syscall.SIGTERM)
	if err := f.Hosts[2].Wait(30 * time.Second); err != nil {
		t.Errorf("the planned stop: %v", err)
	}
}

// stopUnderSignals has the settings of all hosts change, and sends a host that stops more
// signals until it is gone. None may end a host or cut its stop short.
func stopUnderSignals(t *testing.T, f *fleet.Fleet) {
	for _, h := range f.Hosts {
		signal(t, h, syscall.SIGHUP)
	}
	ended := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for {
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
				_ = f.Hosts[2].Signal(s) // fails once the process is gone
			}
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	if err := f.Hosts[2].Wait(30 * time.Second); err != nil {
		t.Errorf("the planned stop: %v", err)
	}
	close(ended)
	sender.Wait()
}

func crashUpstream(t *testing.T, f *fleet.Fleet) {
	control(t, f, upstreamstub.Control{Upstreams: []string{"search-01-a", "search-05-b"}, Crash: true})
}

func cutConnections(t *testing.T, f *fleet.Fleet) {
	for range 5 {
		control(t, f, upstreamstub.Control{CutIdle: true, CutAfterRead: 1})
		time.Sleep(100 * time.Millisecond)
	}
}

// breakPeers breaks the connections between hosts, which may reconnect at once.
func breakPeers(_ *testing.T, f *fleet.Fleet) {
	for range 5 {
		for _, h := range f.Hosts {
			h.Forwarder.Cut()
			h.Forwarder.Restore()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cutPeers blocks connections to one host for longer than any lease.
func cutPeers(_ *testing.T, f *fleet.Fleet) {
	f.Hosts[2].Forwarder.Cut()
	time.Sleep(8 * time.Second)
	f.Hosts[2].Forwarder.Restore()
}

// disconnectPlatform makes the platform unreachable for longer than any lease.
func disconnectPlatform(t *testing.T, f *fleet.Fleet) {
	if err := f.Faults(platformstub.Faults{Down: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(8 * time.Second)
}

func signal(t *testing.T, h *fleet.Host, s syscall.Signal) {
	t.Helper()
	if err := h.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func control(t *testing.T, f *fleet.Fleet, c upstreamstub.Control) {
	t.Helper()
	if err := f.Control(c); err != nil {
		t.Fatal(err)
	}
}
