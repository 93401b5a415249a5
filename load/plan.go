package load

import (
	"fmt"
	"strings"

	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

const (
	indexVersion   = 1
	keysPerService = 1000
	itemsPerScope  = 2000
	// upstreamQueueLimit is the queue length of an upstream stand-in.
	upstreamQueueLimit = 2
)

// plan implements fleet.Plan for a scenario.
type plan struct{ *Scenario }

// HostCount returns the number of hosts.
func (p plan) HostCount() int { return p.Hosts }

// Domain returns the failure domain of a host; n starts at 0.
func (p plan) Domain(n int) string { return p.Domains[n%len(p.Domains)] }

func upstreamName(service string, n int) string { return fmt.Sprintf("%s-%c", service, 'a'+n) }

func serviceRange(number int) upstreamstub.KeyRange {
	from := uint64(number-1) * keysPerService
	return upstreamstub.KeyRange{From: from, To: from + keysPerService}
}

func (g ServiceGroup) space() upstreamstub.KeyRange {
	return upstreamstub.KeyRange{To: uint64(g.Count) * keysPerService}
}

// Stub returns the configuration of the scenario's upstream stand-ins.
func (p plan) Stub(seed uint64) upstreamstub.Config {
	config := upstreamstub.Config{Seed: seed}
	for _, g := range p.Services {
		for number := 1; number <= g.Count; number++ {
			for server := range g.Servers {
				config.Upstreams = append(config.Upstreams, g.stub(number, server))
			}
		}
	}
	return config
}

func (g ServiceGroup) stub(number, server int) upstreamstub.Spec {
	variable := float64(g.ServiceTime) * g.Spread
	spec := upstreamstub.Spec{
		ID:              upstreamName(ServiceName(g.Prefix, number), server),
		Address:         "127.0.0.1:0",
		Slots:           g.Slots,
		Queue:           upstreamQueueLimit,
		Connections:     g.Connections,
		ConnectDelay:    g.Connect,
		ServiceMin:      g.ServiceTime - duration(variable),
		ServiceMean:     duration(variable),
		StragglerEvery:  g.StragglerOneIn,
		StragglerFactor: g.StragglerTimes,
		RestartTime:     restartTime,
		Cold:            upstreamstub.ColdStart{Rate: g.ColdRate, Warm: g.WarmTime},
	}
	if g.Scope != "" {
		spec.Versions = []upstreamstub.VersionSpec{{
			Version: indexVersion,
			Ranges:  []upstreamstub.KeyRange{serviceRange(number)},
			Items:   itemsPerScope,
			Space:   g.space(),
		}}
	}
	return spec
}

// Declaration returns the YAML objects that an operator would apply for the
// scenario.
func (p plan) Declaration(address func(upstream string) string) string {
	var b strings.Builder
	for _, domain := range p.Domains {
		fmt.Fprintf(&b, "kind: FailureDomain\nname: %s\n---\n", domain)
	}
	for _, g := range p.Services {
		p.writeGroup(&b, g, address)
	}
	return b.String()
}

func (p plan) writeGroup(b *strings.Builder, g ServiceGroup, address func(string) string) {
	var names []string
	for number := 1; number <= g.Count; number++ {
		service := ServiceName(g.Prefix, number)
		names = append(names, service)
		fmt.Fprintf(b, "kind: Service\nname: %s\n", service)
		if g.Scope != "" {
			r := serviceRange(number)
			fmt.Fprintf(b, "spec:\n  versions:\n  - version: %d\n    ranges: [{from: %d, to: %d}]\n", indexVersion, r.From, r.To)
		}
		b.WriteString("---\n")
		for server := range g.Servers {
			id := upstreamName(service, server)
			fmt.Fprintf(b, "kind: Upstream\nname: %s\nspec:\n  service: %s\n  failureDomain: %s\n  address: %s\n", id, service, p.Domain(number+server), address(id))
			fmt.Fprintf(b, "  slots: %d\n  connections: %d\n  coldStart: {ratePerSecond: %g, warmTime: %s}\n---\n", g.Slots, g.Connections, g.ColdRate, g.WarmTime)
		}
	}
	if g.Scope != "" {
		fmt.Fprintf(b, "kind: Scope\nname: %s\nspec:\n  services: [%s]\n  space: {from: 0, to: %d}\n  reach: %g\n---\n", g.Scope, strings.Join(names, ", "), g.space().To, g.Reach)
	}
}
