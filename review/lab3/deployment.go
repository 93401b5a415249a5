package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

const hostName = "pupu76.example"

// shardCount is the number of shards, each with two servers.
const shardCount = 6

// addServers starts the shards and the servers of the plain services.
func (l *lab) addServers() error {
	for i := range shardCount {
		for j, zone := range []string{"munster-a", "munster-b"} {
			id := fmt.Sprintf("i-shard%d%c", i, 'a'+j)
			if err := l.addServer(fmt.Sprint("shard", i), id, zone, 5*time.Millisecond, records(id, 12)); err != nil {
				return err
			}
		}
	}
	for _, service := range []string{"orders", "portal"} {
		for j, zone := range []string{"munster-a", "munster-b", "munster-c", "munster-d"} {
			if err := l.addServer(service, fmt.Sprintf("i-%s%d", service, j), zone, 10*time.Millisecond, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// configure writes a version of the configuration. Its route /lookup/ leads to the given
// service.
func (l *lab) configure(version int, lookup string) error {
	var shards []string
	var services []map[string]any
	add := func(name string, connections int) {
		services = append(services, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": connections, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	for i := range shardCount {
		shards = append(shards, fmt.Sprint("shard", i))
		add(shards[i], 60)
	}
	add("orders", 120)
	add("portal", 120)
	route := func(name, prefix, kind string, timeout, target int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "max_attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return l.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("search", "/search/", "idempotent", 1500, 150, map[string]any{"gather": shards, "top_k": 10, "min_coverage": 0.89}),
			route("lookup", "/lookup/", "idempotent", 6000, 600, map[string]any{"service": lookup}),
			route("order", "/order/", "non_idempotent", 6000, 600, map[string]any{"service": "orders"}),
		},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// deploy starts a deployment with machines in the given zones and waits until it is ready.
func (l *lab) deploy(inZones []string) error {
	if err := l.addServers(); err != nil {
		return err
	}
	if err := l.configure(1, "orders"); err != nil {
		return err
	}
	if err := l.startEdges(inZones); err != nil {
		return err
	}
	if !l.awaitReady(20 * time.Second) {
		return errors.New("the machines are not ready")
	}
	time.Sleep(3 * time.Second) // the list of machines is complete everywhere
	l.note("%d machines are ready", len(l.edges))
	return nil
}

// answer is what a consumer got.
type answer struct {
	sent, done time.Time
	status     int // 0 for none
	header     http.Header
	body       []byte
	err        error
}

// consumer keeps its connections to one machine.
type consumer struct {
	to     *edge
	client *http.Client
}

func newConsumer(to *edge) *consumer {
	return &consumer{to: to, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// ask sends one request without a body; deadline is its Deadline-Ms.
func (c *consumer) ask(path, id, deadline string) answer {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.to.front+path, nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{sent: time.Now()}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { a.sent = time.Now() }}))
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", deadline)
	response, err := c.client.Do(request)
	a.done = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	return a
}
