package scatter

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config is one accepted version of the operators' configuration. It is
// immutable.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[core.ServiceID]Service
	Limits   CallerLimits
	// Teams are the teams that callers belong to; nil if callers need no key.
	Teams *Teams

	byHost map[string][]*Route
}

// Service is the configuration of one service's upstreams.
type Service struct {
	ID core.ServiceID
	// Connections is the maximum number of connections to one upstream from all
	// hosts of the tier together.
	Connections int
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// ColdFor is how long an upstream stays cold after a start, and ColdRate how
	// many requests per second it can serve in that time; 0 is no limit.
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

// Route defines how requests to one host name and path prefix are answered.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Regions are the regions whose upstreams may run the route's requests; empty
	// allows all.
	Regions []RegionID
	// Public routes need no key.
	Public bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the maximum time to answer a request, Target the time within
	// which it should be answered.
	Timeout time.Duration
	Target  time.Duration
	// Priority orders requests of different routes; 0 is the highest.
	Priority int
	// MaxUpstreams is the maximum number of upstreams that one request, or one
	// part of it, is sent to.
	MaxUpstreams int
	// Targets are the services that share the route's requests by weight: one
	// entry for a route to a single service, none for a gather.
	Targets []Target
	// Shards are the services that a gather is sent to; empty for other routes.
	Shards []core.ServiceID
	// TopRecords is how many records a gather returns.
	TopRecords int
	// MinCoverage is the minimum share of the shards in an answer, from 0 to 1.
	MinCoverage float64
}

// RegionID names a region, which is a group of failure domains.
type RegionID string

// allowsRegion reports whether upstreams of a region may run the route's requests.
func (r *Route) allowsRegion(region RegionID) bool {
	return includesRegion(r.Regions, region)
}

// includesRegion reports whether a list of allowed regions, which is empty if all are
// allowed, includes a region.
func includesRegion(allowed []RegionID, region RegionID) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// Target is one service of a route and its share of the requests.
type Target struct {
	Service core.ServiceID
	Weight  float64
}

// IsGather reports whether requests are answered from the parts of many services.
func (r *Route) IsGather() bool { return len(r.Shards) > 0 }

// MinParts returns the minimum number of parts in a gather's answer.
func (r *Route) MinParts() int {
	needed := 1
	for float64(needed) < r.MinCoverage*float64(len(r.Shards))-coverageEpsilon {
		needed++
	}
	return needed
}

// coverageEpsilon prevents a rounding error from requiring one more part.
const coverageEpsilon = 1e-9

// NewConfig indexes the routes of a configuration.
func NewConfig(version uint64, routes []*Route, services map[core.ServiceID]Service, limits CallerLimits) *Config {
	c := &Config{Version: version, Routes: routes, Services: services, Limits: limits, byHost: map[string][]*Route{}}
	for _, route := range routes {
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	return c
}

// hasService reports whether the configuration lists a service.
func (c *Config) hasService(id core.ServiceID) bool {
	_, found := c.Services[id]
	return found
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
