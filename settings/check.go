package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// maxNameBytes is the maximum length of the name of a host, failure domain or cell.
const maxNameBytes = 63

// check validates the values that could be parsed and records the faults.
func (s *Source) check() {
	v := &s.Settings
	s.checkName("host", v.Host)
	s.checkName("failure_domain", v.FailureDomain)
	s.checkName("cell", v.Cell)
	s.checkAddresses(v)
	s.checkBounds(v)
	s.checkTLS(v.Peer.TLS)
	s.checkPolicies(v)
	if !oneOf(v.Log.Level, "debug", "info", "warn", "error") {
		s.addFault("log.level", "%q is not debug, info, warn or error", v.Log.Level)
	}
}

func (s *Source) checkName(path, name string) {
	valid := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_'
	}
	if name == "" || len(name) > maxNameBytes || strings.IndexFunc(name, func(r rune) bool { return !valid(r) }) >= 0 {
		s.addFault(path, "%q is not a name of 1 to %d letters, digits, '-', '.' and '_'", name, maxNameBytes)
	}
}

func (s *Source) checkAddresses(v *Settings) {
	s.checkAddress("peer.address", v.Peer.Address)
	s.checkAddress("caller.address", v.Caller.Address)
	s.checkAddress("operator.address", v.Operator.Address)
	admin := s.checkAddress("admin.address", v.Admin.Address)
	if v.Admin.Pprof && admin.IsValid() && !admin.Addr().IsLoopback() {
		s.addFault("admin.pprof", "needs a loopback admin.address, not %s", v.Admin.Address)
	}
	if v.Peer.Advertise != "" {
		s.checkAddress("peer.advertise", v.Peer.Advertise)
	} else if a, err := netip.ParseAddrPort(v.Peer.Address); err == nil && a.Addr().IsUnspecified() {
		s.addFault("peer.advertise", "is needed, since peer.address %s is no address to connect to", v.Peer.Address)
	}
	for _, seed := range v.Peer.Seeds {
		host, address, _ := strings.Cut(seed, "=")
		s.checkName("peer.seeds", host)
		s.checkAddress("peer.seeds", address)
	}
	u, err := url.Parse(v.Platform.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		s.addFault("platform.url", "%q is not an http URL", v.Platform.URL)
	}
}

func (s *Source) checkAddress(path, address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		s.addFault(path, "%q is not ip:port", address)
	}
	return a
}

func (s *Source) checkBounds(v *Settings) {
	s.checkPositive("peer.queue", int64(v.Peer.Queue))
	s.checkPositive("peer.batch", int64(v.Peer.Batch))
	s.checkPositive("caller.max_body_bytes", v.Caller.MaxBodyBytes)
	s.checkPositive("caller.max_limit", int64(v.Caller.MaxLimit))
	s.checkPositive("upstream.max_body_bytes", v.Upstream.MaxBodyBytes)
	s.checkPositive("ring.inbox", int64(v.Ring.Inbox))
	s.checkPositive("ring.platform", int64(v.Ring.Platform))
	s.checkPositive("ring.records", int64(v.Ring.Records))
	positive := []struct {
		path  string
		value time.Duration
	}{
		{"peer.connect_timeout", v.Peer.ConnectTimeout},
		{"peer.backoff_min", v.Peer.BackoffMin},
		{"caller.max_deadline", v.Caller.MaxDeadline},
		{"caller.grace", v.Caller.Grace},
		{"platform.timeout", v.Platform.Timeout},
		{"platform.watch_timeout", v.Platform.WatchTimeout},
		{"upstream.connect_timeout", v.Upstream.ConnectTimeout},
		{"stop.timeout", v.Stop.Timeout},
	}
	for _, p := range positive {
		if p.value <= 0 {
			s.addFault(p.path, "must be above 0, not %v", p.value)
		}
	}
	if v.Peer.BackoffMax < v.Peer.BackoffMin {
		s.addFault("peer.backoff_max", "must be at least peer.backoff_min, %v", v.Peer.BackoffMin)
	}
	if v.Peer.OneWayDelay < 0 {
		s.addFault("peer.one_way_delay", "must not be below 0")
	}
	if v.Stop.Linger < 0 || v.Stop.Linger > v.Stop.Timeout {
		s.addFault("stop.linger", "must be from 0 to stop.timeout, %v", v.Stop.Timeout)
	}
}

func (s *Source) checkPositive(path string, value int64) {
	if value < 1 {
		s.addFault(path, "must be at least 1, not %d", value)
	}
}

func (s *Source) checkTLS(t TLS) {
	filesSet := 0
	for _, file := range []string{t.Certificate, t.Key, t.Authority} {
		if file != "" {
			filesSet++
		}
	}
	if filesSet != 0 && filesSet != 3 {
		s.addFault("peer.tls", "needs certificate, key and authority, or none of them")
	}
}

func (s *Source) checkPolicies(v *Settings) {
	s.checkPolicy("router", v.Policy.Router, core.Routers.Names())
	s.checkPolicy("hedger", v.Policy.Hedger, core.Hedgers.Names())
	s.checkPolicy("admission", v.Policy.Admission, core.Admissions.Names())
	s.checkPolicy("limiter", v.Policy.Limiter, core.Limiters.Names())
	if v.Policy.ExtraLoad < 0 || v.Policy.ExtraLoad > 1 {
		s.addFault("policy.extra_load", "must be from 0 to 1, not %v", v.Policy.ExtraLoad)
	}
}

// checkPolicy checks that a plug-in of that name is registered. It accepts any name
// in a program that links no plug-ins.
func (s *Source) checkPolicy(role string, p Policy, known []string) {
	if len(known) > 0 && !oneOf(p.Name, known...) {
		s.addFault("policy."+role+".name", "no %s %q, known: %s", role, p.Name, strings.Join(known, ", "))
	}
}

func oneOf(name string, names ...string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
