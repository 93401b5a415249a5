package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// For the tests in package scatter_test.
const LimitBurst = limitBurst

// LimitShare is limitShare.
func LimitShare(limit float64, rank, gatherers, hosts int) float64 {
	return limitShare(limit, rank, gatherers, hosts)
}

// RankQuotaOwners is exported for tests.
var RankQuotaOwners = rankQuotaOwners

// AcceptedRequests returns how many requests the budget of extra sends counts.
func (e *Engine) AcceptedRequests(id core.ServiceID, now time.Time) int {
	return e.budget(id).requests.sum(now, 0, maxBuckets)
}

// UnservedShare returns the share of requests that were not served.
func (e *Engine) UnservedShare() float64 { return e.unservedShare }
