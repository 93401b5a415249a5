package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// limitedServers are the servers that state a rate limit: one of the two of a shard,
// and one of those that run the requests that must not run twice.
var limitedServers = []string{"s0-0", "o0"}

const (
	// maxLimit is the highest limit that is stated, in requests per second.
	maxLimit = 30
	// Within limitWindow, limitTolerance times what the limit allows and
	// limitSlack requests more may arrive, from contactMs on.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// disturbedSlack is how many requests more may arrive for each host that was
	// killed, stopped or paused and has forgotten the limit.
	disturbedSlack = 3
)

// stateLimits makes the limited servers state their limits.
func (f *fleet) stateLimits(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	f.limits = map[string]float64{}
	for _, id := range limitedServers {
		f.limits[id] = float64(1 + random.IntN(maxLimit))
		f.serverByID(id).SetLimit(f.limits[id])
	}
}

// checkLimits checks the requests that the limited servers received in each window.
func (c *checker) checkLimits() {
	var disturbed []time.Time
	for _, h := range c.fleet.hosts {
		disturbed = append(disturbed, h.disturbed...)
	}
	for id, limit := range c.fleet.limits {
		since, arrivals := c.fleet.serverByID(id).LimitedArrivals()
		arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Sub(since) < contactMs*time.Millisecond })
		first := 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) > limitWindow {
				first++
			}
			allowed := int(limitTolerance*limit*limitWindow.Seconds()) + limitSlack
			for _, d := range disturbed {
				if d.After(arrivals[first].Add(-limitWindow)) && d.Before(at) {
					allowed += disturbedSlack
				}
			}
			if got := i - first + 1; got > allowed {
				c.violated("server %s stated a limit of %g/s and got %d requests in %v; %d are allowed", id, limit, got, limitWindow, allowed)
				break
			}
		}
	}
}
