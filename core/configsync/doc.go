// Package configsync distributes the accepted configuration to all hosts. A few
// hosts watch the platform's object. A host that receives a newer generation
// pushes it to a few random peers. Each host also compares generations with one
// random peer per second, which repairs lost pushes. The generation in force on a
// host never decreases, so neither a stale watch nor an outdated peer can revert
// the configuration.
//
// Epidemic push and anti-entropy follow A. Demers et al., "Epidemic Algorithms
// for Replicated Database Maintenance", PODC 1987.
package configsync
