package scatter

// Stats counts decisions since the start.
type Stats struct {
	Requests, Answered, Gathered, Refused, Failed, TimedOut, NoRoute         uint64
	Sends, Relayed, Hedges, Retries, ExtraDenied, Late, Partial, CallersGone uint64
	// Accused counts upstreams that may have crashed because of a request,
	// Quarantined the fingerprints put in quarantine, and QuarantineRefused the
	// requests refused because their fingerprint is in quarantine.
	Accused, Quarantined, QuarantineRefused uint64
	// LimitedSends counts the sends to upstreams that state a rate limit;
	// LimitedRelayed and LimitedExtra are those of them that went through a relay
	// and the hedges and retries.
	LimitedSends, LimitedRelayed, LimitedExtra uint64
	// Limited counts how often an upstream began to state a rate limit.
	Limited uint64
	// LimitRefused counts the requests refused because of stated rate limits.
	LimitRefused uint64
	// DirectFailures counts the attempts of open calls that failed on the way from
	// this host to the upstream or there, RelayedFailures those sent through a relay.
	DirectFailures, RelayedFailures uint64
	// Unauthorized counts the requests without a valid key.
	Unauthorized uint64
	// Partitions counts how often this host lost its connections to the upstreams.
	Partitions uint64
	Capacity   CapacityStats
	// QuotaAsked, QuotaGranted and QuotaDenied count the tokens that were requested,
	// received and not received for requests of teams with a limit, OverQuota the
	// requests refused, and QuotaFallbacks how often a host was skipped that grants
	// tokens.
	QuotaAsked, QuotaGranted, QuotaDenied, OverQuota, QuotaFallbacks uint64
}
