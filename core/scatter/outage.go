package scatter

import "time"

// SourceGap describes the time during which a host had no source of the registry,
// neither the store nor another host that reads it.
type SourceGap struct {
	// Length is the time since the host last heard from a source.
	Length time.Duration
	// StoreFailed is true if a call of this host to the store failed meanwhile.
	StoreFailed bool
	// Source describes the source that ended the gap.
	Source RegistrySource
}

// RegistrySource is what a source of the registry states of its calls to the store.
type RegistrySource struct {
	// UpFor is how long they have succeeded; 0 if it is not known.
	UpFor time.Duration
	// Failed is true if they failed before.
	Failed bool
}

// StoreMayHaveFailed reports whether the store may have been unavailable during the gap,
// so that entries expired although their upstreams still run. A host that loses the
// hosts that it follows, or that the store alone turns away, has a gap without that.
func (g SourceGap) StoreMayHaveFailed() bool {
	if g.Source.UpFor >= g.Length && g.Source.UpFor > 0 {
		return false
	}
	return g.StoreFailed || g.Source.Failed
}
