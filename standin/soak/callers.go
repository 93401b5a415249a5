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

// callerPause is the mean time between two requests of one caller.
const meanRequestInterval = 8 * time.Millisecond

// promises collects what callers saw, and what breaks a promise.
type checker struct {
	fleet *fleet

	mu         sync.Mutex
	violations []string
	orders     map[string]int // status by request id; 0 is no answer
	answered   map[string]int // requests by kind and status
}

func newChecker(f *fleet) *checker {
	return &checker{fleet: f, orders: map[string]int{}, answered: map[string]int{}}
}

func (p *checker) violated(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// call runs one caller until stop closes. It keeps its connections open and
// moves to another host now and then.
func (p *checker) runCaller(number int, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	h := p.fleet.hosts[random.IntN(len(p.fleet.hosts))]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Float64() * 2 * float64(meanRequestInterval))):
		}
		if random.IntN(50) == 0 {
			h = p.fleet.hosts[random.IntN(len(p.fleet.hosts))]
		}
		id := fmt.Sprintf("c%d-%d", number, i)
		if random.IntN(2) == 0 {
			p.gather(client, h, id)
		} else {
			p.order(client, h, id)
		}
	}
}

func newProbeClient() *http.Client { return &http.Client{Timeout: 4 * time.Second} }

func sendRequest(client *http.Client, h *host, method, path, id, body string) (status int, header http.Header, data []byte) {
	request, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	request.Host = "soak"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
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

func (p *checker) count(kind string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[fmt.Sprint(kind, " ", status)]++
}

// gather checks that a success consists of whole parts of one version's set.
func (p *checker) gather(client *http.Client, h *host, id string) {
	status, header, body := sendRequest(client, h, http.MethodGet, "/gather/x", id, "")
	p.count("gather", status)
	if status != http.StatusOK {
		return
	}
	var want [][]byte
	services := map[string]bool{}
	for _, stamp := range strings.Split(header.Get("Part-Stamps"), ",") {
		server, request, _ := strings.Cut(stamp, ".")
		if request != id {
			p.violated("%s: a part of request %q", id, request)
			return
		}
		s := p.fleet.serverByID(server)
		if s == nil || services[s.service] {
			p.violated("%s: parts %v", id, header.Get("Part-Stamps"))
			return
		}
		services[s.service] = true
		for i := 1; i <= 3; i++ {
			want = append(want, []byte(fmt.Sprintf("%-16s", fmt.Sprint(server, "-", i))))
		}
	}
	slices.SortFunc(want, func(a, b []byte) int { return bytes.Compare(b, a) })
	if whole := bytes.Join(want[:min(4, len(want))], nil); !bytes.Equal(body, whole) {
		p.violated("%s: the body is not the greatest records of its parts: %q", id, body)
	}
	missing := 0
	_, _ = fmt.Sscan(header.Get("Missing-Parts"), &missing)
	if size := len(services) + missing; size < 2 || size > shards || missing > size/2 || size == 2 && services["shard-2"] {
		p.violated("%s: %d parts and %d missing make up no version's set", id, len(services), missing)
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

// order notes the answer to a request that must not run twice; settle compares
// it with what the servers did.
func (p *checker) order(client *http.Client, h *host, id string) {
	status, header, body := sendRequest(client, h, http.MethodPost, "/order/x", id, "one "+id)
	p.count("order", status)
	p.mu.Lock()
	p.orders[id] = status
	p.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	server, request, _ := strings.Cut(header.Get("Server-Stamp"), ".")
	if request != id || !strings.HasPrefix(string(body), server+"-3") || len(body) != 48 {
		p.violated("%s: the answer of %q with %d bytes", id, header.Get("Server-Stamp"), len(body))
	}
}

// deadlyPause is the mean time between two requests that crash servers.
const meanCrashRequestInterval = 50 * time.Millisecond

// crash sends a request that crashes its servers again and again, to any host.
func (p *checker) sendCrashRequests(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Timeout: 4 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Float64() * 2 * float64(meanCrashRequestInterval))):
		}
		h := p.fleet.hosts[random.IntN(len(p.fleet.hosts))]
		status, _, _ := sendRequest(client, h, http.MethodGet, "/file/deadly", fmt.Sprint("deadly-", i), "")
		p.count("deadly", status)
	}
}

// crashed counts the servers that the deadly request crashed.
func (f *fleet) crashCount() (count int) {
	for _, s := range f.fileServers {
		count += len(s.CrashTimes())
	}
	return count
}

// settle checks what the servers ran against what callers were told.
func (p *checker) checkOrders() {
	for id, status := range p.orders {
		runs := 0
		for _, s := range p.fleet.servers {
			n, body := s.Runs(id)
			runs += n
			if n > 0 && body != "one "+id {
				p.violated("%s: a server got the body %q", id, body)
			}
		}
		switch {
		case runs > 1:
			p.violated("%s ran %d times", id, runs)
		case status == http.StatusServiceUnavailable && runs > 0:
			p.violated("%s was refused and has run", id)
		case status == http.StatusOK && runs != 1:
			p.violated("%s was answered without a run", id)
		}
	}
}
