package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

func hostID(name string) core.HostID     { return core.HostID(name) }
func domainID(name string) core.DomainID { return core.DomainID(name) }
func record(first byte) []byte           { return append([]byte{first}, make([]byte, 15)...) }
func records(first ...byte) (part []byte) {
	for _, b := range first {
		part = append(part, record(b)...)
	}
	return part
}

// newTwoShardCluster returns a cluster with two shards of two servers each and a
// server for orders.
func newTwoShardCluster(t *testing.T) *testCluster {
	cluster := newTestCluster(t)
	for _, id := range []string{"a1", "a2"} {
		cluster.addServer("shard-a", id, serverstub.Config{Body: append(records(5, 9, 1), 7)})
	}
	for _, id := range []string{"b1", "b2"} {
		cluster.addServer("shard-b", id, serverstub.Config{Body: records(8, 9)})
	}
	cluster.addServer("orders", "o1", serverstub.Config{Body: []byte("order taken"), Work: 5 * time.Millisecond})
	cluster.configure("shard-a", "shard-a", "shard-b")
	return cluster
}

func TestGatherMergesParts(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	got := h.request("GET", "/gather/x?q=1", "id-1", "")
	if got.err != nil || got.status != http.StatusOK || got.header.Get("Missing-Parts") != "0" {
		t.Fatalf("got %+v", got)
	}
	if want := records(9, 9, 8); !bytes.Equal(got.body, want) {
		t.Errorf("got %x, want %x", got.body, want)
	}
	stamps := strings.Split(got.header.Get("Part-Stamps"), ",")
	if len(stamps) != 2 || !strings.HasSuffix(stamps[0], ".id-1") || !strings.HasSuffix(stamps[1], ".id-1") {
		t.Errorf("signatures %v", stamps)
	}
}

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	body := strings.Repeat("photo", 1000)
	got := h.request("POST", "/order/7", "id-1", body)
	if got.status != http.StatusOK || string(got.body) != "order taken" || got.header.Get("Server-Stamp") != "o1.id-1" || got.header.Get("X-Kept") != "yes" {
		t.Errorf("got %+v", got)
	}
	if runs, received := cluster.servers["o1"].Runs("id-1"); runs != 1 || received != body {
		t.Errorf("ran %d times with %d bytes", runs, len(received))
	}
	if got := h.request("GET", "/none/", "id-2", ""); got.status != http.StatusNotFound {
		t.Errorf("a path without a route: %d", got.status)
	}
}

// TestGeneralOptionsRequestHasNoSuccess guards against a success that no upstream has given:
// the HTTP library answers such a request itself unless it is told not to.
func TestGeneralOptionsRequestHasNoSuccess(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	c, err := net.Dial("tcp", h.platformSettings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, "OPTIONS * HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 1000\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusNotFound {
		t.Errorf("%v, %v", response, err)
	}
}

// TestFaultyOnlyServer checks the answer to the caller, and the number of runs,
// for each fault of the only server of a service.
func TestFaultyOnlyServer(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	for i, tt := range []struct {
		name   string
		fault  serverstub.Fault
		runs   int
		status int
	}{
		{"lost answer", serverstub.LoseAnswer, 1, http.StatusBadGateway},
		{"truncated", serverstub.Truncate, 1, http.StatusBadGateway},
		{"truncated in its head", serverstub.TruncateHead, 1, http.StatusBadGateway},
		{"rubbish", serverstub.MalformedAnswer, 1, http.StatusBadGateway},
		{"status 000", serverstub.OddStatus, 1, http.StatusBadGateway},
		{"unframed", serverstub.Unframed, 1, http.StatusOK},
		{"extra answer", serverstub.Extra, 1, http.StatusOK},
		{"failure", serverstub.Fail, 1, http.StatusInternalServerError},
		{"shed", serverstub.Shed, 0, http.StatusServiceUnavailable},
		{"forgets connections", serverstub.CloseAfterAnswer, 1, http.StatusOK},
		{"sound again", serverstub.NoFault, 1, http.StatusOK},
	} {
		cluster.servers["o1"].SetFault(tt.fault)
		for round := range 3 {
			id := fmt.Sprintf("id-%d-%d", i, round)
			got := h.request("POST", "/order/7", id, "body")
			if runs, _ := cluster.servers["o1"].Runs(id); got.status != tt.status || runs != tt.runs {
				t.Errorf("%s: got %d %v after %d runs; want %d after %d", tt.name, got.status, got.err, runs, tt.status, tt.runs)
			}
			if got.status == http.StatusOK && got.header.Get("Server-Stamp") != "o1."+id {
				t.Errorf("%s: an answer to another request: %v", tt.name, got.header)
			}
			time.Sleep(200 * time.Millisecond) // until the host sends to the server again
		}
	}
}

// TestIdempotentRequestsAvoidFaultyServer checks that gathers are complete while
// one of a shard's two servers is faulty.
func TestIdempotentRequestsAvoidFaultyServer(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	for i, fault := range []serverstub.Fault{
		serverstub.LoseAnswer, serverstub.Truncate, serverstub.TruncateHead, serverstub.MalformedAnswer, serverstub.OddStatus, serverstub.Fail, serverstub.Shed, serverstub.WrongInstance,
	} {
		cluster.servers["a1"].SetFault(fault)
		for round := range 5 {
			id := fmt.Sprintf("id-%d-%d", i, round)
			if got := h.request("GET", "/gather/", id, ""); got.status != http.StatusOK || got.header.Get("Missing-Parts") != "0" {
				t.Errorf("fault %d: got %d, %s missing", fault, got.status, got.header.Get("Missing-Parts"))
			}
		}
	}
}

// TestEarlyAnswerDoesNotCorruptConnection guards against a next request that is
// sent on a connection with an unread body: the server answers before it has read
// the body. One body fits into the socket buffers, the other does not.
func TestEarlyAnswerDoesNotCorruptConnection(t *testing.T) {
	for _, size := range []int{64 << 10, 1 << 20} {
		cluster := newTwoShardCluster(t)
		h := cluster.startHost("host-1", 1)
		cluster.servers["o1"].SetFault(serverstub.Early)
		h.request("POST", "/order/7", "id-1", strings.Repeat("x", size))
		cluster.servers["o1"].SetFault(serverstub.NoFault)
		time.Sleep(200 * time.Millisecond)
		body := strings.Repeat("y", 100)
		got := h.request("POST", "/order/7", "id-2", body)
		if runs, received := cluster.servers["o1"].Runs("id-2"); got.status != http.StatusOK || runs != 1 || received != body {
			t.Errorf("%d bytes: got %d after %d runs with %d bytes", size, got.status, runs, len(received))
		}
	}
}

// TestStoreChangesTakeEffect covers a draining server, a new version of the
// configuration and an evacuated failure domain.
func TestStoreChangesTakeEffect(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	cluster.register("shard-a", "a1", "draining")
	eventually(t, func() error {
		before := cluster.servers["a1"].Arrived()
		for i := range 10 {
			h.request("GET", "/fetch/", fmt.Sprint("drain-", before, "-", i), "")
		}
		if after := cluster.servers["a1"].Arrived(); after != before {
			return fmt.Errorf("%d requests reached a draining server", after-before)
		}
		return nil
	})
	cluster.configure("shard-b", "shard-b")
	eventually(t, func() error {
		if got := h.request("GET", "/gather/", "", ""); len(strings.Split(got.header.Get("Part-Stamps"), ",")) != 1 {
			return fmt.Errorf("answered from the old set of shards: %v", got.header)
		}
		return nil
	})
	cluster.put("evacuations", "d1", map[string]any{})
	eventually(t, func() error {
		if got := h.request("GET", "/gather/", "id", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			return fmt.Errorf("got %d from an evacuated failure domain", got.status)
		}
		return nil
	})
}

// TestChangesApplyWithinContactTimeAfterStoreFaults writes a version of the
// configuration during each kind of store fault, and checks that it is in force
// one contact time after the fault has ended.
func TestChangesApplyWithinContactTimeAfterStoreFaults(t *testing.T) {
	for name, faults := range map[string]platformstub.Faults{
		"forgets watches": {ForgetWatches: true},
		"silent":          {Silent: true},
		"down":            {Down: true},
		"busy":            {Busy: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			h := cluster.startHost("host-1", 1)
			set := func(f platformstub.Faults) {
				if err := cluster.store.SetFaults(f); err != nil {
					t.Fatal(err)
				}
			}
			set(faults)
			time.Sleep(3 * contactTime)
			cluster.configure("shard-b", "shard-b")
			cluster.store.Compact()
			set(platformstub.Faults{})
			time.Sleep(contactTime)
			if version := configVersionOf(h); version != 2 {
				t.Errorf("version %d is in force %v after the store recovered, want 2", version, contactTime)
			}
		})
	}
}

func configVersionOf(h *testHost) (version uint64) {
	h.decision.query(func(e *scatter.Engine) { version = e.Version() })
	return version
}

// TestInvalidStoreEntriesAreIgnored checks that invalid server entries, which
// another program may write, are skipped and logged while valid ones stay in use.
func TestInvalidStoreEntriesAreIgnored(t *testing.T) {
	cluster := newTwoShardCluster(t)
	cluster.put("servers", "x1", map[string]any{"service": "shard-a"})
	cluster.put("servers", "x2", "not an entry")
	cluster.put("servers", "x3", map[string]any{"service": 7, "address": "127.0.0.1:1"})
	cluster.put("servers", "x4", map[string]any{
		"service": "shard-a", "address": "nowhere", "zone": "d1", "version": "v1", "max_concurrency": 2,
		"state": "asleep", "warmup_left_ms": 0, "sequence": 1,
	})
	h := cluster.startHost("host-1", 1)
	for i := range 20 {
		if got := h.request("GET", "/gather/", fmt.Sprint("id-", i), ""); got.status != http.StatusOK || got.header.Get("Missing-Parts") != "0" {
			t.Fatalf("got %+v", got)
		}
	}
	if !strings.Contains(h.log.String(), "entry_ignored") {
		t.Error("the ignored entries are not logged")
	}
}

// TestWeakHostHandsOver checks that a host of low power hands requests over to a
// stronger one, and still answers after that one has stopped.
func TestWeakHostHandsOver(t *testing.T) {
	cluster := newTwoShardCluster(t)
	strong := cluster.startHost("strong", 1)
	weak := cluster.startHost("weak", 0.1)
	eventually(t, func() error {
		if got := weak.request("POST", "/order/7", "id-1", "body"); got.status != http.StatusOK || string(got.body) != "order taken" {
			return fmt.Errorf("got %+v", got)
		}
		if !strings.Contains(weak.log.String(), "handed over: passed on") {
			return fmt.Errorf("the request was not handed over")
		}
		return nil
	})
	strong.stopAndWait()
	eventually(t, func() error {
		if got := weak.request("GET", "/gather/", "id-2", ""); got.status != http.StatusOK {
			return fmt.Errorf("got %+v", got)
		}
		return nil
	})
}

// TestPlannedStopDropsNoRequest stops a host under load from callers with open
// connections. A request that gets no answer must not have run.
func TestPlannedStopDropsNoRequest(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	var callers sync.WaitGroup
	for caller := range 8 {
		client := *h
		client.client = newCaller()
		callers.Go(func() {
			for i := range 400 {
				id := fmt.Sprintf("id-%d-%d", caller, i)
				got := client.request("POST", "/order/7", id, "body")
				runs, _ := cluster.servers["o1"].Runs(id)
				if got.err != nil && runs > 0 {
					t.Errorf("%s ran but was not answered: %v", id, got.err)
				}
				if got.err != nil && strings.Contains(got.err.Error(), "refused") {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	h.stop()
	h.waitReadiness(false)
	callers.Wait()
	h.stopAndWait()
}

// TestLateRequestIsAnsweredBeforeTheStopEnds checks that a request that is taken late
// in a planned stop, and whose server then takes longer than the stop, gets a final
// answer before its connection ends. A refused one must not have run.
func TestLateRequestIsAnsweredBeforeTheStopEnds(t *testing.T) {
	for _, path := range []string{"/order/7", "/gather/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			h := cluster.startHost("host-1", 1)
			for i := range 5 {
				h.request("GET", path, fmt.Sprint("before-", i), "")
			}
			late := time.Duration(0.5 * float64(h.platformSettings.StopWithin))
			for _, s := range cluster.servers {
				s.PauseFor(2 * h.platformSettings.StopWithin)
			}
			h.stop()
			time.Sleep(late)
			got := h.request("GET", path, "late", "")
			if got.err != nil {
				t.Fatalf("no answer: %v", got.err)
			}
			for id, s := range cluster.servers {
				if runs, _ := s.Runs("late"); got.status == http.StatusServiceUnavailable && runs > 0 {
					t.Errorf("refused, but run by %s", id)
				}
			}
			h.stopAndWait()
		})
	}
}

// TestIdleTimeoutOfCallerConnections checks that a caller's connection is closed
// once it is idle for longer than the configured timeout, and not before.
func TestIdleTimeoutOfCallerConnections(t *testing.T) {
	cluster := newTwoShardCluster(t)
	cluster.idleTimeout = 1500 * time.Millisecond
	cluster.configure("shard-a", "shard-a", "shard-b")
	h := cluster.startHost("host-1", 1)
	c, err := net.Dial("tcp", h.platformSettings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	ask := func(id string) error {
		if _, err := fmt.Fprintf(c, "GET /nowhere HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n\r\n", id); err != nil {
			return err
		}
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err
	}
	for i := range 3 {
		if err := ask(fmt.Sprint("id-", i)); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(600 * time.Millisecond)
	}
	if err := c.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v, want EOF", err)
	}
}

// TestCallerDisconnectIsNoHandoverFailure guards against a backoff from a healthy
// host because callers disconnected while it handled their requests.
func TestCallerDisconnectIsNoHandoverFailure(t *testing.T) {
	cluster := newTwoShardCluster(t)
	cluster.startHost("strong", 1)
	weak := cluster.startHost("weak", 0.1)
	eventually(t, func() error {
		weak.request("GET", "/gather/", "id-0", "")
		if !strings.Contains(weak.log.String(), "handed over: passed on") {
			return fmt.Errorf("no handover yet")
		}
		return nil
	})
	cluster.servers["o1"].PauseFor(2 * time.Second)
	for i := range 5 {
		impatient := *weak
		impatient.client = &http.Client{Timeout: 50 * time.Millisecond, Transport: &http.Transport{}}
		impatient.request("POST", "/order/7", fmt.Sprint("id-", i), "body")
	}
	time.Sleep(100 * time.Millisecond)
	if strings.Contains(weak.log.String(), "host_rests") {
		t.Error("caller disconnects caused a backoff from the strong host")
	}
}

// TestRestartedHostIgnoresWithdrawnState checks that a restarted host uses neither
// a draining upstream nor a replaced set of shards, whether the store is up or
// down.
func TestRestartedHostIgnoresWithdrawnState(t *testing.T) {
	for name, faults := range map[string]platformstub.Faults{"store there": {}, "store away": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTwoShardCluster(t)
			reader := cluster.startHost("host-1", 1)
			first := cluster.startHost("host-2", 1)
			cluster.configure("shard-b", "shard-b")
			cluster.register("shard-b", "b1", "draining")
			for _, h := range []*testHost{reader, first} {
				eventually(t, func() error {
					if v := h.configVersion.Load(); v != uint64(cluster.version) {
						return fmt.Errorf("version %d in force", v)
					}
					return nil
				})
			}
			time.Sleep(500 * time.Millisecond) // until the draining entry has arrived too
			first.stopAndWait()
			arrivedBefore := cluster.servers["b1"].Arrived()
			if err := cluster.store.SetFaults(faults); err != nil {
				t.Fatal(err)
			}
			restarted := cluster.startHostWithSeed("host-2", reader.platformSettings.Control)
			for i := range 20 {
				got := restarted.request("GET", "/gather/", fmt.Sprint("id-", i), "")
				if stamps := got.header.Get("Part-Stamps"); got.status == http.StatusOK && !strings.HasPrefix(stamps, "b2.") {
					t.Errorf("answered by %q, want b2", stamps)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if now := cluster.servers["b1"].Arrived(); now != arrivedBefore {
				t.Errorf("%d requests reached a draining server", now-arrivedBefore)
			}
		})
	}
}

// serversThatRan returns the number of servers that ran a request.
func (cluster *testCluster) serversThatRan(id string) (count int) {
	for _, s := range cluster.servers {
		if n, _ := s.Runs(id); n > 0 {
			count++
		}
	}
	return count
}

// countRuns returns how often a request ran on all servers together.
func (cluster *testCluster) countRuns(id string) (count int) {
	for _, s := range cluster.servers {
		n, _ := s.Runs(id)
		count += n
	}
	return count
}

// TestHandoverAfterHostFailure breaks the host to which a request was handed over
// while the request runs. An idempotent request is answered by another host, on no
// more servers than its route allows; any other is answered 502 and runs once.
func TestHandoverAfterHostFailure(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	for _, id := range []string{"f1", "f2", "f3"} {
		cluster.addServer("files", id, serverstub.Config{Body: []byte("file"), Work: 300 * time.Millisecond})
	}
	cluster.addServer("orders", "o1", serverstub.Config{Body: []byte("order taken"), Work: 300 * time.Millisecond})
	cluster.configure("files")
	cluster.firstStart = true // a restarted host has no retry budget at first
	strong := []*testHost{cluster.startHost("strong-1", 1), cluster.startHost("strong-2", 1)}
	for i := range 6 {
		cluster.startHost(fmt.Sprint("stands-by-", i), 0.1)
	}
	weak := cluster.startHost("weak", 0.1)
	// A host has no retry budget until it has counted the hosts that share it.
	for _, h := range append(strong, weak) {
		eventually(t, func() (err error) {
			h.decision.query(func(e *scatter.Engine) {
				if len(e.Registered()) < 9 || h == weak && e.Role() == scatter.Gatherer {
					err = fmt.Errorf("%s is a %v of %d", h.platformSettings.Host, e.Role(), len(e.Registered()))
				}
			})
			return err
		})
	}
	findRunningHost := func() (found *testHost) {
		eventually(t, func() error {
			for _, h := range strong {
				h.decision.query(func(e *scatter.Engine) {
					if e.Running() > 0 {
						found = h
					}
				})
			}
			if found == nil {
				return errors.New("no strong host runs the request")
			}
			return nil
		})
		return found
	}
	for _, tt := range []struct {
		path         string
		status, runs int
		maxRuns      int // the first host may have hedged
	}{{"/fetch/x", http.StatusOK, 2, 3}, {"/order/x", http.StatusBadGateway, 1, 1}} {
		got := make(chan callerReply, 1)
		go func() { got <- weak.request("GET", tt.path, tt.path, "") }()
		failing := findRunningHost()
		eventually(t, func() error {
			if cluster.countRuns(tt.path) == 0 {
				return errors.New("the request has not reached a server")
			}
			return nil
		})
		failing.peerServer.Stop() // breaks its connections to other hosts
		answer := <-got
		if runs := cluster.countRuns(tt.path); answer.status != tt.status || runs < tt.runs || runs > tt.maxRuns {
			t.Errorf("%s: got %d after %d runs, want %d after %d", tt.path, answer.status, runs, tt.status, tt.runs)
		}
		if ran := cluster.serversThatRan(tt.path); ran > tt.runs {
			t.Errorf("%s: it ran on %d servers, want at most %d", tt.path, ran, tt.runs)
		}
	}
}
