package gateway

// budget is the token bucket for extra load. Each first attempt adds a fraction
// of a token, and each hedge or budgeted retry costs one token. Since every
// home limits extra load to a fraction of the sub-queries that it sends, all
// homes together do.
type budget struct {
	fraction, burst, reserve float64
	tokens                   float64
}

// newBudget returns a budget that holds only the reserve, so that hedges stay
// within the fraction from the first sub-query on.
func newBudget(c *Config) budget {
	return budget{fraction: c.ExtraFraction, burst: c.ExtraBurst, reserve: c.HedgeReserve, tokens: c.HedgeReserve}
}

func (b *budget) deposit() {
	b.tokens = min(b.tokens+b.fraction, b.burst)
}

// takeRetry takes a token for a retry.
func (b *budget) takeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeHedge takes a token for a hedge, but never from the reserve. The reserve
// is for retries: they save sub-queries that would fail, while hedges only
// speed up slow ones.
func (b *budget) takeHedge() bool {
	if b.tokens < b.reserve+1 {
		return false
	}
	return b.takeRetry()
}
