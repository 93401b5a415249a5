package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// RolloutLimits bound the exposure of requests to a version that is rolled out.
type RolloutLimits struct {
	// Share is the part of a service's requests that the new version may get between
	// the order and its deadline, beyond Slack requests. 0 turns roll-outs off:
	// versions are ignored then.
	Share float64
	Slack float64
	// Rollback is how long after its 50th bad answer a version may still get requests.
	Rollback time.Duration
	// Apply is the time within which a stored decision is in force on all hosts.
	Apply time.Duration
}

// Enabled reports whether versions are observed at all.
func (l RolloutLimits) Enabled() bool { return l.Share > 0 }

// RolloutKey identifies an order. One that replaces another one under the same entry
// has another target; one that was withdrawn and given again has another revision.
type RolloutKey struct {
	Service core.ServiceID
	// Created is the revision at which the store created the entry.
	Created uint64
	Target  string
}

// RolloutOrder is an operator's order to move a service to another version.
type RolloutOrder struct {
	RolloutKey
	// Name is the entry's name, under which its status is written.
	Name     string
	Duration time.Duration
	// Revision is that of the entry, State and StatusTarget are its status.
	Revision     uint64
	State        RolloutState
	StatusTarget string
	// Problem says why the entry makes no sense; empty for a proper order.
	Problem string
}

// RolloutState is the state that the status of an order states.
type RolloutState string

// The states of an order. An order without a status has the empty state.
const (
	RolloutRunning   RolloutState = "running"
	RolloutCompleted RolloutState = "completed"
	RolloutReverted  RolloutState = "reverted"
)

// Final reports whether the order is over.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutReverted }

// RolloutPhase is a stage of a roll-out. For one order the phases only rise.
type RolloutPhase int

// The phases of a roll-out, in their order.
const (
	// RolloutProposed is the phase of an order that is known but not begun: the new
	// version gets nothing.
	RolloutProposed RolloutPhase = iota
	// RolloutFirst gives the new version a small share.
	RolloutFirst
	// RolloutSecond gives it a larger share.
	RolloutSecond
	// RolloutProbe spends what the earlier phases have left of the allowed exposure, so
	// that faults that appear under load only are seen.
	RolloutProbe
	// RolloutSwitched sends all requests to the new version.
	RolloutSwitched
	// RolloutDone lets the old version stop.
	RolloutDone
	// RolloutBack sends nothing to the new version any more.
	RolloutBack
)

var rolloutPhaseNames = [...]string{"proposed", "first", "second", "probe", "switched", "completed", "reverted"}

// String returns the phase as it is stored and logged.
func (p RolloutPhase) String() string { return rolloutPhaseNames[p] }

// ParseRolloutPhase returns the phase of that name.
func ParseRolloutPhase(name string) (RolloutPhase, bool) {
	for at, known := range rolloutPhaseNames {
		if known == name {
			return RolloutPhase(at), true
		}
	}
	return RolloutProposed, false
}

// Final reports whether the roll-out is over.
func (p RolloutPhase) Final() bool { return p >= RolloutDone }

// State returns the state that the status of an order in this phase states.
func (p RolloutPhase) State() RolloutState {
	switch p {
	case RolloutDone:
		return RolloutCompleted
	case RolloutBack:
		return RolloutReverted
	default:
		return RolloutRunning
	}
}

// RolloutRecord is the stored state of a roll-out, which is binding for all hosts.
type RolloutRecord struct {
	RolloutKey
	Phase RolloutPhase
	// Base is the version that the service had before.
	Base string
	// Started is when the order was first seen, Since when the phase began.
	Started, Since time.Time
	// Reason says why the order was reverted, Confidence how sure the verdict is.
	Reason     string
	Confidence float64
	// Revision is that of the stored object; 0 if there is none.
	Revision uint64
}

// supersedes reports whether a record may replace a known one. The store may be restored
// from an older copy, and updates arrive late: a roll-out never returns to an earlier
// phase, its end is never changed, and no earlier one takes its place.
func (r RolloutRecord) supersedes(known RolloutRecord) bool {
	if r.RolloutKey != known.RolloutKey {
		return r.Started.After(known.Started)
	}
	return !known.Phase.Final() && r.Phase >= known.Phase
}

// RolloutsSeen lists the orders. It replaces the previous list.
type RolloutsSeen struct{ Orders []RolloutOrder }

// RolloutRecordsSeen lists the stored states of roll-outs. It replaces the previous list.
type RolloutRecordsSeen struct{ Records []RolloutRecord }

// RolloutStored is the result of a RolloutWrite.
type RolloutStored struct {
	Service core.ServiceID
	// Failed is true if the store did not accept the record or the status, Unreachable if
	// it did not answer.
	Failed, Unreachable bool
	Record              RolloutRecord
	// State is the status that was stored; empty if none was.
	State RolloutState
}

// FailedBy returns the result of a write that failed, perhaps since the store did not answer.
func (r RolloutStored) FailedBy(unreachable bool) RolloutStored {
	r.Failed, r.Unreachable = true, unreachable
	return r
}

// RolloutReported carries the counts of another host.
type RolloutReported struct{ RolloutReport }

// RolloutReportTaken states how a host answered the report of this one. It declines if it
// cannot store decisions, or cannot be reached.
type RolloutReportTaken struct {
	By       core.HostID
	Declined bool
}

// RolloutReport is what one host has counted since its start.
type RolloutReport struct {
	Host    core.HostID
	Started int64 // of the host, which distinguishes two starts
	Counts  []VersionCounts
}

// RolloutWrite stores a decision: the record if it has changed, then the status.
type RolloutWrite struct {
	Record RolloutRecord
	// StoreRecord is false if the record is stored already.
	StoreRecord bool
	// Order is the entry whose status is written. Its Revision is 0 if the entry is gone.
	Order RolloutOrder
}

// RolloutReportTo sends this host's counts to the host that decides.
type RolloutReportTo struct {
	To     Host
	Report RolloutReport
}

func (RolloutsSeen) isEvent()       {}
func (RolloutRecordsSeen) isEvent() {}
func (RolloutStored) isEvent()      {}
func (RolloutReported) isEvent()    {}
func (RolloutReportTaken) isEvent() {}
