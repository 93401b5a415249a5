// Package fleet starts hosts and stand-ins as processes on loopback addresses
// for the demonstration and for process tests. It is no part of the product.
package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// Layout sets the numbers of hosts, failure domains and services. The key space
// is divided equally between the search services. Each service has two upstreams
// in different failure domains. One more service, CallService, runs plain calls.
type Layout struct {
	Hosts    int
	Domains  int
	Services int
	// Items is the number of items of the index.
	Items int
	// Upstream holds the settings common to all upstreams.
	Upstream upstreamstub.Spec
}

// The names of the scope and of the service of plain calls, and the index
// version.
const (
	Scope       = "register"
	CallService = "fees"
	Version     = 1
	// keysPerService is the width of the key range of one service.
	keysPerService = 1000
)

// DefaultLayout returns a layout of eight hosts and eight search services.
func DefaultLayout() Layout {
	return Layout{
		Hosts:    8,
		Domains:  4,
		Services: 8,
		Items:    2000,
		Upstream: upstreamstub.Spec{
			Address:      "127.0.0.1:0",
			Slots:        2,
			Queue:        2,
			Connections:  25,
			ConnectDelay: 6 * time.Millisecond,
			ServiceMin:   2 * time.Millisecond,
			ServiceMean:  3 * time.Millisecond,
			RestartTime:  300 * time.Millisecond,
			Cold:         upstreamstub.ColdStart{Rate: 20, Warm: 2 * time.Second},
		},
	}
}

// Domain returns the name of the failure domain of the host with index n.
func (l Layout) Domain(n int) string { return fmt.Sprintf("domain-%d", n%l.Domains+1) }

// Service returns the name of the search service with index n.
func (l Layout) Service(n int) string { return fmt.Sprintf("search-%02d", n+1) }

// services returns the names of all services, CallService last.
func (l Layout) services() []string {
	var names []string
	for n := range l.Services {
		names = append(names, l.Service(n))
	}
	return append(names, CallService)
}

// Upstream returns the name of the upstream of a service with index n, 0 or 1.
func Upstream(service string, n int) string { return fmt.Sprintf("%s-%c", service, 'a'+n) }

// Space returns the key space of the index.
func (l Layout) Space() upstreamstub.KeyRange {
	return upstreamstub.KeyRange{To: uint64(l.Services) * keysPerService}
}

// Range returns the key range of the search service with index n.
func (l Layout) Range(n int) upstreamstub.KeyRange {
	from := uint64(n) * keysPerService
	return upstreamstub.KeyRange{From: from, To: from + keysPerService}
}

// Index returns the index that the upstreams serve, to compute expected answers.
func (l Layout) Index(seed uint64) *upstreamstub.Index {
	return upstreamstub.NewIndex(seed, Version, l.Items, l.Space())
}

// HostCount returns the number of hosts.
func (l Layout) HostCount() int { return l.Hosts }

// Stub returns the settings of the upstream stand-in.
func (l Layout) Stub(seed uint64) upstreamstub.Config {
	c := upstreamstub.Config{Seed: seed}
	for n, service := range l.services() {
		for replica := range 2 {
			spec := l.Upstream
			spec.ID = Upstream(service, replica)
			if service != CallService {
				spec.Versions = []upstreamstub.VersionSpec{{
					Version: Version,
					Ranges:  []upstreamstub.KeyRange{l.Range(n)},
					Items:   l.Items,
					Space:   l.Space(),
				}}
			}
			c.Upstreams = append(c.Upstreams, spec)
		}
	}
	return c
}

// Declaration returns the objects to apply as YAML; address returns the
// "ip:port" of an upstream.
func (l Layout) Declaration(address func(upstream string) string) string {
	var b strings.Builder
	for n := range l.Domains {
		fmt.Fprintf(&b, "kind: FailureDomain\nname: %s\n---\n", l.Domain(n))
	}
	for n, service := range l.services() {
		fmt.Fprintf(&b, "kind: Service\nname: %s\n", service)
		if service != CallService {
			r := l.Range(n)
			fmt.Fprintf(&b, "spec:\n  versions:\n  - version: %d\n    ranges: [{from: %d, to: %d}]\n", Version, r.From, r.To)
		}
		b.WriteString("---\n")
		for replica := range 2 {
			id := Upstream(service, replica)
			l.declareUpstream(&b, id, service, l.Domain(n+replica), address(id))
		}
	}
	searches := strings.Join(l.services()[:l.Services], ", ")
	fmt.Fprintf(&b, "kind: Scope\nname: %s\nspec:\n  services: [%s]\n  space: {from: 0, to: %d}\n  reach: 0.9\n", Scope, searches, l.Space().To)
	return b.String()
}

func (l Layout) declareUpstream(b *strings.Builder, id, service, domain, address string) {
	u := l.Upstream
	fmt.Fprintf(b, "kind: Upstream\nname: %s\nspec:\n  service: %s\n  failureDomain: %s\n  address: %s\n", id, service, domain, address)
	fmt.Fprintf(b, "  slots: %d\n  connections: %d\n  coldStart: {ratePerSecond: %g, warmTime: %s}\n---\n", u.Slots, u.Connections, u.Cold.Rate, u.Cold.Warm)
}
