package scatter

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// versionUse says what may be sent to the upstreams of a version.
type versionUse int

const (
	versionBarred  versionUse = iota // nothing
	versionLimited                   // its share
	versionOpen                      // all that the other one does not get
)

// versionPolicy says which versions of one service get requests.
//
// It answers the seconds around an order: upstreams of another version may register before
// the order is known here, and stay registered after it has ended. Without an order, only
// the version that the service has gets requests.
type versionPolicy struct {
	// known is false until this host has read the orders and their states.
	known bool
	// base is the version that the service has.
	base string
	// target and phase are those of the order; without one, target is empty.
	target string
	phase  RolloutPhase
	// halted is true if this host itself has found the target bad.
	halted bool
	// held is true while the version is kept although no upstream has it.
	held bool
}

// use returns what may be sent to a version. mixed is true if upstreams of several versions
// are registered.
func (p versionPolicy) use(version string, mixed bool) versionUse {
	switch {
	case !p.known:
		// Both may be forbidden, the old version after the switch and the new one before.
		if mixed {
			return versionBarred
		}
		return versionOpen
	case p.target == "" || p.target == p.base:
		if version == p.base {
			return versionOpen
		}
		return versionBarred
	case version == p.target:
		return p.useOfTarget()
	case version == p.base && (p.phase < RolloutSwitched || p.phase == RolloutBack):
		return versionOpen
	default:
		return versionBarred
	}
}

func (p versionPolicy) useOfTarget() versionUse {
	switch {
	case p.phase == RolloutProposed || p.phase == RolloutBack:
		return versionBarred
	case p.phase >= RolloutSwitched:
		return versionOpen
	case p.halted:
		return versionBarred
	default:
		return versionLimited
	}
}

// baseGoneAfter is how long no upstream of a service's version must be registered until
// another version takes its place without an order. Upstreams that restart register again
// within 2 s, and their entries may have to expire first.
const baseGoneAfter = 10 * time.Second

// basePresence decides for how long a service keeps a version that no upstream has.
//
// It answers the crash of all upstreams of the old version: the new one must not get more than
// its share for that reason.
type basePresence struct {
	version string
	seenAt  time.Time
}

// keeps reports whether a version is kept that no upstream has. It is as long as a roll-out from
// it runs.
func (b *basePresence) keeps(now time.Time, version string, upstreams []Upstream, running bool) bool {
	present := slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Version == version })
	if present || version != b.version {
		b.version, b.seenAt = version, now
	}
	return version != "" && !present && (running || now.Sub(b.seenAt) < baseGoneAfter)
}

// baseVersion returns the version that a service has, if no record states one: the known
// one while an upstream of it is registered, otherwise that of the earliest start. All hosts
// that see the same entries choose the same one. The target of an order is chosen only if
// there is no other.
func baseVersion(known string, upstreams []Upstream, target string) string {
	if len(upstreams) == 0 || slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Version == known }) {
		return known
	}
	return slices.MinFunc(upstreams, func(a, b Upstream) int {
		if aIsTarget, bIsTarget := a.Version == target, b.Version == target; aIsTarget != bIsTarget {
			if aIsTarget {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Version, b.Version))
	}).Version
}

// acceptsWork reports whether an upstream may be sent new requests.
func (d *directory) acceptsWork(u *upstream) bool {
	return !u.Draining && !u.leaving && !d.domainsOut[u.Domain] && (d.versionUse == nil || d.versionUse(u) != versionBarred)
}

// versionsOf returns the upstreams of a service and whether they have several versions.
func (d *directory) versionsOf(id core.ServiceID) (upstreams []Upstream, mixed bool) {
	for _, u := range d.byService[id] {
		mixed = mixed || u.Version != d.byService[id][0].Version
		upstreams = append(upstreams, u.Upstream)
	}
	return upstreams, mixed
}
