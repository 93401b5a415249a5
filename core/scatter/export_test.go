package scatter

// For the tests in package scatter_test.
const LimitBurst = limitBurst

// LimitShare is limitShare.
func LimitShare(limit float64, rank, gatherers, hosts int) float64 {
	return limitShare(limit, rank, gatherers, hosts)
}

// RankQuotaOwners is exported for tests.
var RankQuotaOwners = rankQuotaOwners

// UnservedShare returns the share of requests that were not served.
func (e *Engine) UnservedShare() float64 { return e.unservedShare }
