package configsync

import (
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// Defaults of Config.
const (
	DefaultDigestEvery     = time.Second
	DefaultFanout          = 4
	DefaultPlatformTimeout = 2 * time.Second
	DefaultMaxReadDelay    = 500 * time.Millisecond
)

// wideDigests is the number of digest rounds after a change that go to Fanout
// peers instead of one. With one peer per round and 20 % message loss, a host in
// a fleet of 200 exceeded the allowed propagation time.
const wideDigests = 3

// Topics of the records of this package.
const (
	// TopicApplied: a newer generation is in force on this host.
	TopicApplied = "configuration.applied"
	// TopicInvalid: a document or delta was corrupt or not valid.
	TopicInvalid = "configuration.invalid"
)

// Config configures a Sync. Zero timings and counts select the defaults.
type Config struct {
	Self    core.HostID
	Members core.Membership
	Random  *rand.Rand
	// DigestEvery is the time between two digest rounds.
	DigestEvery time.Duration
	// Fanout is the number of peers to which a newer generation is pushed.
	Fanout int
	// PlatformTimeout limits the read of the document after the start.
	PlatformTimeout time.Duration
	// MaxReadDelay is the longest random delay after the start until the host
	// reads the document from the platform once, unless it received one from a
	// peer first. If the read fails, the host depends on its peers, or on its
	// watch if it has one.
	MaxReadDelay time.Duration
}

func (c *Config) setDefaults() error {
	if c.Self == "" || c.Members == nil || c.Random == nil {
		return core.Errorf(core.InvalidRequest, "configsync: Self, Members and Random are needed")
	}
	if c.Fanout < 0 || c.DigestEvery < 0 || c.PlatformTimeout < 0 || c.MaxReadDelay < 0 {
		return core.Errorf(core.InvalidRequest, "configsync: negative timing or count")
	}
	setDefault(&c.DigestEvery, DefaultDigestEvery)
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.PlatformTimeout, DefaultPlatformTimeout)
	setDefault(&c.MaxReadDelay, DefaultMaxReadDelay)
	return nil
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Sync is the core.Role that keeps the configuration of a host up to date. It is
// not safe for concurrent use; the documents and topologies that it returns are
// immutable and may be shared.
type Sync struct {
	config Config
	// doc is the newest valid document received; generation 0 before the first.
	doc           *resource.Document
	deltas        map[uint64]*peerpb.ConfigPush // pushes of doc, keyed by their Since generation
	topology      *core.Topology
	topologyTaken bool // TakeTopology returned topology

	started  bool
	watching bool
	// watchCandidates are the live hosts from which the watchers were last chosen.
	watchCandidates []core.HostID
	nextDigest      time.Time
	// wideDigestsLeft is how many of the next digest rounds go to Fanout peers.
	wideDigestsLeft int
	// watchFrom is when the watchers are first chosen; earlier, the list of live
	// hosts is too incomplete.
	watchFrom time.Time
	// readAt is when the document is read from the platform; zero if the read was
	// done.
	readAt    time.Time
	operation uint64
	// lost is the version of an older document that the platform holds instead of
	// the one in force, 0 for none; storing is the write that replaces it.
	lost, storing uint64
	lastPush      map[core.HostID]sentPush
	// lastInvalid is the last rejection recorded. It prevents a watch that delivers
	// the same corrupt value repeatedly from flooding the records.
	lastInvalid string
}

var _ core.Role = (*Sync)(nil)

// New returns a Sync without a configuration.
func New(config Config) (*Sync, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	return &Sync{
		config:        config,
		doc:           &resource.Document{},
		deltas:        map[uint64]*peerpb.ConfigPush{},
		topologyTaken: true,
		lastPush:      map[core.HostID]sentPush{},
	}, nil
}

// TakeTopology returns each newer topology once; false if there is none.
func (s *Sync) TakeTopology() (*core.Topology, bool) {
	if s.topologyTaken {
		return nil, false
	}
	s.topologyTaken = true
	return s.topology, true
}

// Document returns the document in force on this host; it is empty at
// generation 0.
func (s *Sync) Document() *resource.Document { return s.doc }

// Generation returns the generation in force on this host.
func (s *Sync) Generation() uint64 { return s.doc.Generation }

// Watching reports whether this host watches the platform's object.
func (s *Sync) Watching() bool { return s.watching }

// Idle always returns true: a planned stop need not wait for this role, since the
// peers and the platform hold the same configuration.
func (s *Sync) Idle() bool { return true }

// Next returns when the next digest round or platform read is due.
func (s *Sync) Next() time.Time {
	if !s.readAt.IsZero() && s.readAt.Before(s.nextDigest) {
		return s.readAt
	}
	return s.nextDigest
}

// Step handles one event and runs the timers that are due.
func (s *Sync) Step(now time.Time, event core.Event, out *core.Actions) {
	if !s.started {
		s.start(now, out)
	}
	switch e := event.(type) {
	case core.PlatformChanged:
		if e.Key == core.ConfigKey {
			if len(e.Value) > 0 {
				s.applyValue(e.Value, "platform", out)
			}
			s.checkStored(e, out)
		}
	case core.PlatformReply:
		if e.Operation&core.OperationsMask == core.OperationsConfig {
			s.handlePlatformReply(e, out)
		}
	case core.PeerMessage:
		s.peerMessage(now, e, out)
	}
	s.runTimers(now, out)
}

// start sends a digest to one peer and schedules the platform read after a random
// delay, so that hosts which start together do not all read the platform at once.
// Watchers are chosen only after the hosts had time to discover each other.
func (s *Sync) start(now time.Time, out *core.Actions) {
	s.started = true
	s.watchFrom = now.Add(2 * s.config.DigestEvery)
	s.readAt = now.Add(s.randomDelay(s.config.MaxReadDelay))
	s.nextDigest = now.Add(s.randomDelay(s.config.DigestEvery))
	s.sendDigests(1, out)
}

func (s *Sync) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.config.Random.Int64N(int64(d)))
}

func (s *Sync) runTimers(now time.Time, out *core.Actions) {
	if !s.readAt.IsZero() && !now.Before(s.readAt) {
		s.readPlatform(out)
	}
	if now.Before(s.nextDigest) {
		return
	}
	if !now.Before(s.watchFrom) {
		s.chooseWatch(out)
	}
	s.expireSentPushes(now)
	s.storeAgain(out)
	s.compareWithPeers(out)
	s.nextDigest = now.Add(s.config.DigestEvery)
}

// compareWithPeers runs one digest round. The rounds after a change go to more
// peers, so that each lagging host is found within seconds.
func (s *Sync) compareWithPeers(out *core.Actions) {
	if s.wideDigestsLeft == 0 {
		s.sendDigests(1, out)
		return
	}
	s.wideDigestsLeft--
	s.sendDigests(s.config.Fanout, out)
}

// readPlatform reads the platform's object, unless a document was received
// meanwhile.
func (s *Sync) readPlatform(out *core.Actions) {
	s.readAt = time.Time{}
	if s.doc.Generation > 0 {
		return
	}
	s.operation++
	out.Add(core.PlatformCall{
		Operation: core.OperationsConfig | s.operation,
		Op:        core.PlatformGet,
		Key:       core.ConfigKey,
		Timeout:   s.config.PlatformTimeout,
	})
}

func (s *Sync) handlePlatformReply(reply core.PlatformReply, out *core.Actions) {
	if reply.Operation == core.OperationsConfig|s.storing {
		s.storing = 0
		if reply.Kind != core.PlatformUnavailable {
			s.lost = 0 // stored, or replaced by another host; the watch delivers it
		}
		return
	}
	if reply.Kind == core.OK {
		s.applyValue(reply.Value, "platform", out)
	}
}
