package gateway

// budget is the token bucket for extra load. Each sub-query that is needed
// earns a fraction of a token and each hedge or retry costs one. As every home
// keeps to the fraction of what it sends, the whole tier does.
type budget struct {
	fraction, burst, reserve float64
	tokens                   float64
}

// newBudget starts with the reserve only, so that hedges stay within their
// fraction from the first sub-query on.
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

// takeHedge takes a token for a hedge and leaves the reserve: a retry mends a
// sub-query that would fail, a hedge only one that is slow.
func (b *budget) takeHedge() bool {
	if b.tokens < b.reserve+1 {
		return false
	}
	return b.takeRetry()
}
