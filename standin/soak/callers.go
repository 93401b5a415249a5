package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// meanRequestInterval is the mean time between two requests of one caller.
const meanRequestInterval = 8 * time.Millisecond

// checker records what callers observe and which guarantees are violated.
type checker struct {
	fleet  *fleet
	probes int // sent so far

	mu         sync.Mutex
	violations []string
	orders     map[string]int // status by request id; 0 stands for no answer
	answered   map[string]int // number of requests by kind and status
}

func newChecker(f *fleet) *checker {
	return &checker{fleet: f, orders: map[string]int{}, answered: map[string]int{}}
}

func (c *checker) violated(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// runCaller sends requests as one caller until stop is closed. It keeps its
// connections open and switches to a random host about every 50 requests.
func (c *checker) runCaller(number int, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	h := c.fleet.hosts[random.IntN(len(c.fleet.hosts))]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Float64() * 2 * float64(meanRequestInterval))):
		}
		if random.IntN(50) == 0 {
			h = c.fleet.hosts[random.IntN(len(c.fleet.hosts))]
		}
		id := fmt.Sprintf("c%d-%d", number, i)
		if random.IntN(2) == 0 {
			c.gather(client, h, id)
		} else {
			c.order(client, h, id)
		}
	}
}

func newProbeClient() *http.Client { return &http.Client{Timeout: 4 * time.Second} }

func sendRequest(f *fleet, client *http.Client, h *host, method, path, id, body string) (status int, header http.Header, data []byte) {
	request, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	request.Host = "soak"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	f.identify(request.Header, id)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer func() { _ = response.Body.Close() }()
	if data, err = io.ReadAll(response.Body); err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, response.Header, data
}

func (c *checker) count(kind string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[fmt.Sprint(kind, " ", status)]++
}

// gather sends a gather request. It checks that the parts of a successful answer
// are complete and belong to the shards of one configuration version.
func (c *checker) gather(client *http.Client, h *host, id string) {
	status, header, body := sendRequest(c.fleet, client, h, http.MethodGet, "/gather/x", id, "")
	c.count("gather", status)
	if status != http.StatusOK {
		return
	}
	var want [][]byte
	services := map[string]bool{}
	for _, stamp := range strings.Split(header.Get("Part-Stamps"), ",") {
		server, request, _ := strings.Cut(stamp, ".")
		if request != id {
			c.violated("%s: a part of request %q", id, request)
			return
		}
		s := c.fleet.serverByID(server)
		if s == nil || services[s.service] {
			c.violated("%s: parts %v", id, header.Get("Part-Stamps"))
			return
		}
		services[s.service] = true
		for i := 1; i <= 3; i++ {
			want = append(want, []byte(fmt.Sprintf("%-16s", fmt.Sprint(server, "-", i))))
		}
	}
	slices.SortFunc(want, func(a, b []byte) int { return bytes.Compare(b, a) })
	if whole := bytes.Join(want[:min(4, len(want))], nil); !bytes.Equal(body, whole) {
		c.violated("%s: the body is not the greatest records of its parts: %q", id, body)
	}
	missing := 0
	_, _ = fmt.Sscan(header.Get("Missing-Parts"), &missing)
	if size := len(services) + missing; size < 2 || size > shards || missing > size/2 || size == 2 && services["shard-2"] {
		c.violated("%s: %d parts and %d missing make up no version's set", id, len(services), missing)
	}
}

func (f *fleet) serverByID(id string) *server {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// order sends a request that must not run twice and records its status, which
// checkLateCrashes checks that at most maxLateCrashes requests crash servers later than the
// contact time after the third crash since all hosts were restarted.
func (c *checker) checkLateCrashes(restarted time.Time) {
	var times []time.Time
	for _, s := range c.fleet.fileServers {
		for _, at := range s.CrashTimes() {
			if at.After(restarted) {
				times = append(times, at)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	late := 0
	for _, at := range times {
		if len(times) >= 3 && at.After(times[2].Add(contactMs*time.Millisecond)) {
			late++
		}
	}
	if late > maxLateCrashes {
		c.violated("%d servers crashed under one request after all hosts were killed, %d of them late", len(times), late)
	}
}

// checkOrders compares with the runs at the servers.
func (c *checker) order(client *http.Client, h *host, id string) {
	status, header, body := sendRequest(c.fleet, client, h, http.MethodPost, "/order/x", id, "one "+id)
	c.count("order", status)
	c.recordOrder(id, status)
	if status != http.StatusOK {
		return
	}
	server, request, _ := strings.Cut(header.Get("Server-Stamp"), ".")
	if request != id || !strings.HasPrefix(string(body), server+"-3") || len(body) != 48 {
		c.violated("%s: the answer of %q with %d bytes", id, header.Get("Server-Stamp"), len(body))
	}
}

const (
	// meanCrashRequestInterval is the mean time between two requests that crash servers,
	// meanLeaverInterval that in runs in which their callers leave. These servers get no
	// other requests.
	meanCrashRequestInterval = 50 * time.Millisecond
	meanLeaverInterval       = 700 * time.Millisecond
	// leaverPatience is how long such a caller waits, leaverCrashAfter how long its request
	// runs before the server crashes, leaverDownTime for how long that is down.
	leaverPatience   = 30 * time.Millisecond
	leaverCrashAfter = 100 * time.Millisecond
	leaverDownTime   = 50 * time.Millisecond
)

// callersLeave reports whether the callers of the requests that crash servers leave before.
func callersLeave(seed uint64) bool { return rand.New(rand.NewPCG(seed, 6)).IntN(3) == 0 }

// sendCrashRequests repeats a request that crashes the server that runs it, each
// time through a random host, until stop is closed.
func (c *checker) sendCrashRequests(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	client, interval := &http.Client{Timeout: 4 * time.Second}, meanCrashRequestInterval
	if callersLeave(seed) {
		client.Timeout, interval = leaverPatience, meanLeaverInterval
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Float64() * 2 * float64(interval))):
		}
		h := c.fleet.hosts[random.IntN(len(c.fleet.hosts))]
		status, _, _ := sendRequest(c.fleet, client, h, http.MethodGet, "/file/deadly", fmt.Sprint("deadly-", i), "")
		c.count("deadly", status)
	}
}

// crashCount returns how many server crashes the crashing request caused.
func (f *fleet) crashCount() (count int) {
	for _, s := range f.fileServers {
		count += len(s.CrashTimes())
	}
	return count
}

// checkOrders compares the runs at the servers with the answers that callers
// received.
func (c *checker) checkOrders() {
	for id, status := range c.orders {
		runs := 0
		for _, s := range c.fleet.servers {
			n, body := s.Runs(id)
			runs += n
			if n > 0 && body != "one "+id {
				c.violated("%s: a server got the body %q", id, body)
			}
		}
		switch {
		case runs > 1:
			c.violated("%s ran %d times", id, runs)
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusUnauthorized) && runs > 0:
			c.violated("%s was refused and has run", id)
		case status == http.StatusOK && runs != 1:
			c.violated("%s was answered without a run", id)
		}
	}
}
