package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/platformstub"
)

// lab holds the processes and the stand-ins of one case.
type lab struct {
	program, settings string
	temp              string // for settings and logs of the hosts
	started           time.Time
	store             *platformstub.Stub
	storeServer       *http.Server
	storeAddress      string
	hosts             []*host
	servers           []*server
	closing           sync.Once

	mu      sync.Mutex
	record  *os.File
	version int
	// bodyLimit is max_body_bytes of the next version.
	bodyLimit int
}

func newLab(folder, program, settings string) (*lab, error) {
	record, err := os.OpenFile(filepath.Join(folder, recordFile), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordFileBit)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lab{program: program, settings: settings, temp: temp, started: time.Now(), bodyLimit: 262144, record: record, store: platformstub.New()}
	l.storeAddress = listener.Addr().String()
	l.storeServer = &http.Server{Handler: l.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = l.storeServer.Serve(listener) }() // it ends when the lab is closed
	return l, nil
}

// note writes a line to the record and to the standard output.
func (l *lab) note(format string, values ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, values...)
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintln(l.record, line)
	if strings.HasPrefix(format, "result") || strings.HasPrefix(format, "*") || strings.HasPrefix(format, "the case") {
		fmt.Println(line)
	}
}

// close ends all processes that the lab started.
func (l *lab) close() {
	l.closing.Do(func() {
		for _, h := range l.hosts {
			h.end()
		}
		for _, s := range l.servers {
			s.close()
		}
		_ = l.storeServer.Close()
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(l.temp)
		}
	})
}

// route is one route of the configuration; other fields are the same for all.
type route map[string]any

// configure writes the next version of the configuration. Its ack is the return.
func (l *lab) configure(services []string, routes ...route) error {
	l.mu.Lock()
	l.version += 3
	version := l.version
	l.mu.Unlock()
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/healthz", "max_connections": 60, "protocol": "h1", "tls": false, "warmup_s": 3, "warmup_per_s": 0,
		})
	}
	var names []string
	for _, r := range routes {
		names = append(names, fmt.Sprint(r["path_prefix"], " to ", r["service"]))
	}
	err := l.store.Put("config", "main", map[string]any{
		"version": version, "services": list, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": l.bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	l.note("the operator writes version %d, which the store acknowledges: %s", version, strings.Join(names, ", "))
	return err
}

// siteHost is the host name of all routes.
const siteHost = "fida40.example"

// single returns a route to one service.
func single(prefix, service, kind string, target time.Duration) route {
	return route{
		"name": "r-" + strings.Trim(prefix, "/"), "host": siteHost, "path_prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": callerWait.Milliseconds(), "target_latency_ms": target.Milliseconds(), "priority": 2, "max_attempts": 2,
	}
}
