package gateway

// Stats are the counters of a Gateway since its creation.
type Stats struct {
	// Calls are the requests received from callers and through Run; Answers
	// their final answers.
	Calls, Answers uint64
	// Refused are the failures after which the request has not run.
	Refused uint64
	// Flights are the questions run; Shared the requests that joined a flight.
	Flights, Shared uint64
	// Attempts are all sub-queries sent; Extra the hedges and budgeted retries
	// among them, Hedges and Retries the number of each; HedgeWins the hedges
	// that succeeded first.
	Attempts, Extra, Hedges, Retries, HedgeWins uint64
	// ExtraDenied counts how often the budget denied a hedge or a retry.
	ExtraDenied uint64
	// LateReplies are replies to an attempt that had ended: late or duplicated.
	LateReplies uint64
	// LateAnswers are replies to calls that did not, or no longer, await a reply
	// from the sending host.
	LateAnswers uint64
	// Mismatched are replies that did not match their attempt: from another
	// host or upstream, of another index version, or with ranges or keys that
	// were not requested.
	Mismatched uint64
	// Restarts are restarts of queries on another index version.
	Restarts uint64
	// HomesLost are queries that the ingress ran itself because the home was
	// lost, silent or unavailable.
	HomesLost uint64
	// HostLost are attempts that failed because their host was lost.
	HostLost uint64
}

// Gauges are the current sizes of a Gateway's tables.
type Gauges struct {
	Calls, Flights, Attempts int
	// Budget is the number of tokens for hedges and retries.
	Budget float64
}

// Stats returns the counters.
func (g *Gateway) Stats() Stats { return g.stats }

// Gauges returns the current sizes.
func (g *Gateway) Gauges() Gauges {
	return Gauges{
		Calls:    len(g.calls),
		Flights:  g.running,
		Attempts: len(g.attempts),
		Budget:   g.budget.tokens,
	}
}
