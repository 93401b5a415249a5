package scatter

import "math"

const (
	// maxSlackHosts is the number of hosts among which the slack is divided: all that send
	// to upstreams and all that stand by to replace one of them.
	maxSlackHosts = maxGatherers + maxStandbys
	// firstShare and secondShare are the parts of the allowed share that the new version
	// gets in the first two phases. What they leave is spent in the third.
	firstShare  = 0.25
	secondShare = 0.5
	// probeShare is the share of requests that the new version gets in the third phase
	// while the allowed exposure lasts.
	probeShare = 0.5
	// maxShareCredit bounds how many requests in a row go to the new version.
	maxShareCredit = 2.0
)

// versionShare decides which requests of one host go to the new version of a service.
//
// It answers the load in which hosts die, start and are cut off during a roll-out of a bad
// version. Each host keeps to the share of its own requests, so the sum over any set of
// hosts keeps to the share of all requests, without any message between them. Only the
// slack has to be divided: each of the hosts that may send has an equal part of it. A host
// that started after the order has none, since an earlier process may have spent it.
//
// Requests are counted once; sends to the new version are counted each, hedges and retries
// included.
type versionShare struct {
	limits RolloutLimits
	// slack is this host's part.
	slack float64
	// requests and exposed count this host's requests and sends to the new version since
	// the order.
	requests, exposed float64
	credit            float64
}

func newVersionShare(limits RolloutLimits, startedBefore bool) *versionShare {
	s := &versionShare{limits: limits}
	if startedBefore {
		s.slack = math.Floor(limits.Slack / maxSlackHosts)
		s.credit = min(1, s.slack) // few requests give answers soon
	}
	return s
}

// shareOf returns the share of requests that the new version gets in a phase before the switch.
func (s *versionShare) shareOf(phase RolloutPhase) float64 {
	switch phase {
	case RolloutFirst:
		return firstShare * s.limits.Share
	case RolloutSecond:
		return secondShare * s.limits.Share
	case RolloutProbe:
		return max(s.limits.Share, probeShare)
	default:
		return 0
	}
}

// arrive counts the first send of a request or part.
func (s *versionShare) arrive(phase RolloutPhase) {
	s.requests++
	s.credit = min(maxShareCredit, s.credit+s.shareOf(phase))
}

// allows reports whether the next send may go to the new version while that has a share.
func (s *versionShare) allows(phase RolloutPhase) bool {
	return s.shareOf(phase) > 0 && s.credit >= 1 && s.exposed+1 <= s.limits.Share*s.requests+s.slack
}

// expose counts a send to the new version.
func (s *versionShare) expose() {
	s.exposed++
	s.credit = max(0, s.credit-1)
}
