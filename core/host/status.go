package host

import (
	"reflect"
	"strings"
	"time"
	"unicode"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/gateway"
	"github.com/samphirebeam/samphirebeam/core/lease"
	"github.com/samphirebeam/samphirebeam/core/member"
	"github.com/samphirebeam/samphirebeam/core/once"
	"github.com/samphirebeam/samphirebeam/core/owner"
	"github.com/samphirebeam/samphirebeam/resource"
)

// Status is the state of a host as shown to operators.
type Status struct {
	Host       core.HostID
	Domain     core.DomainID
	Generation uint64
	// Generations is the configuration generation in force on each host.
	Generations map[core.HostID]uint64
	Members     []member.HostStatus
	Lease       lease.Status
	Shares      []lease.ShareStatus
	// Cold and Quarantine cover the shares that this host holds.
	Cold       []owner.ColdUpstream
	Quarantine []owner.QuarantinedQuestion
	Ready      bool
	Stopping   bool
}

// Stats holds the counters of the roles.
type Stats struct {
	Gateway gateway.Stats
	Owner   owner.Stats
	Member  member.Stats
	Lease   lease.Stats
	Once    once.Stats
}

// Status returns a copy of the state that the caller may keep.
func (h *Host) Status(now time.Time) Status {
	return Status{
		Host:        h.cfg.Self.Host,
		Domain:      h.cfg.Self.Domain,
		Generation:  h.config.Generation(),
		Generations: h.members.Generations(),
		Members:     h.members.Status(),
		Lease:       h.leases.Status(),
		Shares:      h.leases.Shares(),
		Cold:        h.owner.Cold(now),
		Quarantine:  h.owner.Quarantine(now),
		Ready:       h.Ready(),
		Stopping:    h.stopping,
	}
}

// Ready reports whether the host has a configuration and accepts caller requests.
func (h *Host) Ready() bool { return h.topology != nil && !h.stopping }

// Stats returns the counters of the roles.
func (h *Host) Stats() Stats {
	return Stats{
		Gateway: h.gateway.Stats(),
		Owner:   h.owner.Stats(),
		Member:  h.members.Stats(),
		Lease:   h.leases.Stats(),
		Once:    h.once.Stats(),
	}
}

// Counters returns the counters of the roles by metric name.
func (h *Host) Counters() map[string]uint64 {
	counters := map[string]uint64{}
	stats := reflect.ValueOf(h.Stats())
	for i := range stats.NumField() {
		role := stats.Field(i)
		for j := range role.NumField() {
			if role.Field(j).Kind() != reflect.Uint64 {
				continue
			}
			name := snakeCase(stats.Type().Field(i).Name) + "_" + snakeCase(role.Type().Field(j).Name) + "_total"
			counters[name] = role.Field(j).Uint()
		}
	}
	return counters
}

// snakeCase converts a Go name to a metric name: LateReplies to late_replies.
func snakeCase(name string) string {
	var b strings.Builder
	for i, letter := range name {
		if unicode.IsUpper(letter) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(letter))
	}
	return b.String()
}

// Address returns the peer address of a host; empty if unknown.
func (h *Host) Address(id core.HostID) string { return h.members.Address(id) }

// Document returns the configuration document in force; it is empty, at generation
// 0, before there is one.
func (h *Host) Document() *resource.Document { return h.config.Document() }
