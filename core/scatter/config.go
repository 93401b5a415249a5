package scatter

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config is one accepted version of the operators' configuration. It is never
// changed after it was built.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[core.ServiceID]Service
	Limits   CallerLimits

	byHost map[string][]*Route
}

// Service is what the configuration says of one service's upstreams.
type Service struct {
	ID core.ServiceID
	// Connections is the most connections that one upstream takes, tier-wide.
	Connections int
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// ColdFor is how long an upstream stays cold after a start, and ColdRate
	// the requests per second that it bears meanwhile; 0 declares no limit.
	ColdFor  time.Duration
	ColdRate float64
}

// CallerLimits bound what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route says how requests of one host name and path prefix are answered.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Regions are those whose upstreams may run the route's requests; empty
	// allows all.
	Regions []RegionID
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest that a request is kept waiting, Target the time
	// within which an answer is worth most.
	Timeout time.Duration
	Target  time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxUpstreams is the most upstreams that one request, or one part of it,
	// is sent to.
	MaxUpstreams int
	// Targets are the services that share the route's requests by weight; one
	// entry for a route to a single service, none for a gather.
	Targets []Target
	// Shards are the services that a gather asks; empty for other routes.
	Shards []core.ServiceID
	// TopRecords is how many records a gather returns.
	TopRecords int
	// MinCoverage is the least share of the shards that an answer needs,
	// between 0 and 1.
	MinCoverage float64
}

// RegionID names a region, which consists of failure domains.
type RegionID string

// allowsRegion says whether upstreams of a region may run the route's requests.
func (r *Route) allowsRegion(region RegionID) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service core.ServiceID
	Weight  float64
}

// IsGather says that a request is answered from parts of many services.
func (r *Route) IsGather() bool { return len(r.Shards) > 0 }

// MinParts is the least number of parts that a gather's answer needs.
func (r *Route) MinParts() int {
	needed := 1
	for float64(needed) < r.MinCoverage*float64(len(r.Shards))-coverageEpsilon {
		needed++
	}
	return needed
}

// coverageEpsilon keeps rounding from asking for one part more.
const coverageEpsilon = 1e-9

// NewConfig indexes the routes of a configuration.
func NewConfig(version uint64, routes []*Route, services map[core.ServiceID]Service, limits CallerLimits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for _, route := range routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	return c
}

// Match returns the route with the longest prefix of the path among those of
// the host name, or nil. A port in the host name is ignored.
func (c *Config) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	var best *Route
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}
