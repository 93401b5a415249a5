package scatter

import "time"

const (
	// secondFrom and probeFrom are when the second and the third phase begin, as parts of
	// the time for judging. The third needs the most of it, for faults under load.
	secondFrom = 0.2
	probeFrom  = 0.45
	// rolloutWriteTime is how long the store may take to accept a decision that is stored.
	rolloutWriteTime = time.Second
	// completionTime is needed at the end, besides RolloutLimits.Apply and rolloutWriteTime,
	// for requests in flight and for writing the status; storeMargin is for a store that
	// answers slowly, and for the time until the order was seen.
	completionTime = time.Second
	storeMargin    = 2 * time.Second
	// minJudgingShare is the part of the duration that is kept for judging if an order is
	// too short for both.
	minJudgingShare = 0.3
	// minNewAnswers is the number of the new version's answers from which on it may be
	// found good; once storeMargin is used up, fewNewAnswers are enough.
	minNewAnswers = 20
	fewNewAnswers = 3
	// doubtfulEvidence keeps a version from being found good although the evidence is not
	// enough for a verdict. At 20, a version that failed in a tenth of its answers passed in
	// 7 of 10 replays at 30 requests/s.
	doubtfulEvidence = 3
	// minWarmShare times the number of old upstreams is how many new ones have to be warm for
	// the switch, unless there is no more time.
	minWarmShare = 0.75
	// maxOldDrain is how long after the switch has reached all hosts requests are expected
	// to be in flight at the old version, if hosts that do not report may have sent them.
	maxOldDrain = 3 * time.Second
)

// rolloutView is what the deciding host knows of one order.
type rolloutView struct {
	order RolloutOrder
	// ordered is false if the order was withdrawn.
	ordered bool
	// record is the stored state; its Revision is 0 if there is none yet.
	record  RolloutRecord
	limits  RolloutLimits
	verdict verdict
	// reporting is true if counts from enough other hosts are current.
	reporting bool
	// serviceKnown is false if the configuration has no such service.
	serviceKnown bool
	// base is the version that the service has; oldUpstreams and newUpstreams count the
	// registered upstreams of the two versions, newWarm those of the new one that are not
	// cold.
	base                                string
	oldUpstreams, newUpstreams, newWarm int
	// oldInFlight is the number of requests in flight at the old version, known only if
	// oldKnown.
	oldInFlight uint64
	oldKnown    bool
}

// rolloutPlan holds the times of a roll-out.
type rolloutPlan struct{ second, probe, switchAt, lastSwitch, deadline time.Time }

// planRollout divides the time between an order and its deadline. The switch comes as late as
// possible: faults that begin late are then seen while few requests are exposed.
func planRollout(started time.Time, duration time.Duration, limits RolloutLimits) rolloutPlan {
	ending := limits.Apply + rolloutWriteTime + completionTime
	last := max(time.Duration(minJudgingShare*float64(duration)), duration-ending)
	judging := max(time.Duration(minJudgingShare*float64(duration)), last-storeMargin)
	at := func(part float64) time.Time { return started.Add(time.Duration(part * float64(judging))) }
	return rolloutPlan{second: at(secondFrom), probe: at(probeFrom), switchAt: at(1), lastSwitch: started.Add(last), deadline: started.Add(duration)}
}

// decide returns the record that is to be stored next, and whether it differs from the
// stored one. Only the host that decides calls it, and a decision takes effect when it is
// stored under the revision of the record that it was derived from: of two hosts that both
// consider themselves the deciding host, one is refused.
//
// It answers the death of the deciding host, whose successor continues from the record, and
// versions that turn bad at any time up to the end: a verdict of a bad version always wins
// until the completion is stored.
func (v rolloutView) decide(now time.Time) (next RolloutRecord, changed bool) {
	next = v.record
	if next.Phase.Final() {
		return next, false
	}
	move := func(phase RolloutPhase, reason string) (RolloutRecord, bool) {
		next.Phase, next.Reason, next.Since = phase, reason, now
		return next, true
	}
	if next.Revision == 0 {
		next = RolloutRecord{RolloutKey: v.order.RolloutKey, Base: v.base, Started: now, Since: now}
		if reason := v.refusal(); reason != "" {
			return move(RolloutBack, reason)
		}
		if v.base == v.order.Target {
			return move(RolloutDone, "the service has this version already")
		}
		return move(RolloutFirst, "")
	}
	plan := planRollout(next.Started, v.order.Duration, v.limits)
	switch {
	case !v.ordered:
		return move(RolloutBack, "the order was withdrawn")
	case v.verdict.bad:
		next.Confidence = v.verdict.confidence()
		return move(RolloutBack, v.verdict.reason)
	case next.Phase == RolloutSwitched:
		if v.oldHasEnded(now) {
			return move(RolloutDone, "")
		}
		return next, false
	case now.After(plan.deadline):
		return move(RolloutBack, "the deadline came before the version was judged")
	case !now.Before(plan.switchAt):
		return v.concludeJudging(now, plan, move)
	case now.Before(plan.second) || v.newUpstreams == 0:
		return next, false
	case now.Before(plan.probe):
		if next.Phase < RolloutSecond {
			return move(RolloutSecond, "")
		}
	case next.Phase < RolloutProbe:
		return move(RolloutProbe, "")
	}
	return next, false
}

// concludeJudging decides at the end of the time for judging. A host without counts from
// others does not find a version good. It does not revert for that reason before the
// deadline either: it may be cut off from the host that has them.
func (v rolloutView) concludeJudging(now time.Time, plan rolloutPlan, move func(RolloutPhase, string) (RolloutRecord, bool)) (RolloutRecord, bool) {
	last := !now.Before(plan.lastSwitch)
	needed := uint64(minNewAnswers)
	if last {
		needed = fewNewAnswers
	}
	if v.reporting && v.newUpstreams > 0 && (last || v.canCarryLoad()) && v.verdict.answers >= needed && v.verdict.evidence < doubtfulEvidence {
		return move(RolloutSwitched, "")
	}
	if !last {
		return v.record, false
	}
	switch {
	case v.newUpstreams == 0:
		return move(RolloutBack, "no upstream has this version")
	case v.verdict.evidence >= doubtfulEvidence:
		return move(RolloutBack, "in doubt at the deadline: "+v.verdict.reason)
	case !v.reporting:
		return v.record, false
	default:
		return move(RolloutBack, "too few answers of this version before the deadline")
	}
}

// canCarryLoad reports whether enough upstreams of the new version have started and are warm.
// All requests go to them at once.
func (v rolloutView) canCarryLoad() bool {
	return float64(v.newWarm) >= minWarmShare*float64(v.oldUpstreams)
}

// refusal says why an order cannot be carried out; empty if it can.
func (v rolloutView) refusal() string {
	switch {
	case v.order.Problem != "":
		return v.order.Problem
	case !v.serviceKnown:
		return "the configuration has no such service"
	default:
		return ""
	}
}

// oldHasEnded reports whether the old version may stop: every host that is in contact sends
// to the new one, and nothing is in flight at the old one.
func (v rolloutView) oldHasEnded(now time.Time) bool {
	inForce := v.record.Since.Add(v.limits.Apply + rolloutWriteTime)
	if now.Before(inForce) || v.oldInFlight > 0 {
		return false
	}
	return v.oldKnown && v.reporting || !now.Before(inForce.Add(maxOldDrain))
}
