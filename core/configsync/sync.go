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
	DefaultGetSpread       = 500 * time.Millisecond
)

// wideDigests is how many digests after a change go to Fanout peers. With one
// peer a digest and a loss of one message in five, a host in 200 lagged longer
// than the users allow.
const wideDigests = 3

// The topics of this package's records.
const (
	// TopicApplied: a newer generation is in force on this host.
	TopicApplied = "configuration.applied"
	// TopicInvalid: a document or delta was corrupt or not valid.
	TopicInvalid = "configuration.invalid"
)

// Config is what a Sync needs. Zero timings and counts are the defaults.
type Config struct {
	Self    core.HostID
	Members core.Membership
	Random  *rand.Rand
	// DigestEvery is the time between two comparisons with a random peer.
	DigestEvery time.Duration
	// Fanout is how many peers a newer generation is pushed to.
	Fanout int
	// PlatformTimeout ends the read of the document at the start.
	PlatformTimeout time.Duration
	// GetSpread is the time after the start within which the host reads the
	// platform once, unless a peer told it the configuration first. If the read
	// fails the host learns from its peers, or by its watch if it has one.
	GetSpread time.Duration
}

func (c *Config) setDefaults() error {
	if c.Self == "" || c.Members == nil || c.Random == nil {
		return core.Errorf(core.InvalidRequest, "configsync: Self, Members and Random are needed")
	}
	if c.Fanout < 0 || c.DigestEvery < 0 || c.PlatformTimeout < 0 || c.GetSpread < 0 {
		return core.Errorf(core.InvalidRequest, "configsync: negative timing or count")
	}
	setDefault(&c.DigestEvery, DefaultDigestEvery)
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.PlatformTimeout, DefaultPlatformTimeout)
	setDefault(&c.GetSpread, DefaultGetSpread)
	return nil
}

func setDefault[T comparable](value *T, otherwise T) {
	var zero T
	if *value == zero {
		*value = otherwise
	}
}

// Sync is a core.Role. Like every role it belongs to one thread; the documents
// and topologies that it hands out are never changed and may be read anywhere.
type Sync struct {
	config Config
	// doc is the newest document that this host knows to be valid; a host that
	// knows none has generation 0.
	doc      *resource.Document
	deltas   map[uint64]*peerpb.ConfigPush // pushes of doc by generation since
	topology *core.Topology
	taken    bool // Take handed topology over

	started  bool
	watching bool
	// chosenAmong are the live hosts among which the watchers were chosen.
	chosenAmong []core.HostID
	nextDigest  time.Time
	// wide is how many of the next digests go to Fanout peers, not to one.
	wide int
	// firstWatch is when the live hosts are known well enough to choose the
	// watchers among them.
	firstWatch time.Time
	// nextGet is when the platform is read; zero is never again.
	nextGet   time.Time
	operation uint64
	answered  map[core.HostID]answer
	// lastInvalid keeps a watch that repeats a corrupt value from filling the
	// records.
	lastInvalid string
}

var _ core.Role = (*Sync)(nil)

// New returns a Sync that knows no configuration yet.
func New(config Config) (*Sync, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	return &Sync{
		config:   config,
		doc:      &resource.Document{},
		deltas:   map[uint64]*peerpb.ConfigPush{},
		taken:    true,
		answered: map[core.HostID]answer{},
	}, nil
}

// TakeTopology returns each newer topology once; false if there is none.
func (s *Sync) TakeTopology() (*core.Topology, bool) {
	if s.taken {
		return nil, false
	}
	s.taken = true
	return s.topology, true
}

// Document returns the document in force on this host; at generation 0 it is
// empty.
func (s *Sync) Document() *resource.Document { return s.doc }

// Generation returns the generation in force on this host.
func (s *Sync) Generation() uint64 { return s.doc.Generation }

// Watching says whether this host watches the platform's object.
func (s *Sync) Watching() bool { return s.watching }

// Idle is always true: a host that stops owes nothing here, since its peers
// and the platform hold what it knows.
func (s *Sync) Idle() bool { return true }

// Next returns when the next comparison or read is due.
func (s *Sync) Next() time.Time {
	if !s.nextGet.IsZero() && s.nextGet.Before(s.nextDigest) {
		return s.nextGet
	}
	return s.nextDigest
}

// Step takes one event.
func (s *Sync) Step(now time.Time, event core.Event, out *core.Actions) {
	if !s.started {
		s.start(now, out)
	}
	switch e := event.(type) {
	case core.PlatformChanged:
		if e.Key == core.ConfigKey {
			s.learnValue(e.Value, "platform", out)
		}
	case core.PlatformReply:
		if e.Operation&core.OperationsMask == core.OperationsConfig {
			s.got(e, out)
		}
	case core.PeerMessage:
		s.peerMessage(now, e, out)
	}
	s.runTimers(now, out)
}

// start asks a peer at once, and leaves it a moment before the platform is
// read: a fleet that starts together must not read it all at once, nor watch
// it before the hosts know each other.
func (s *Sync) start(now time.Time, out *core.Actions) {
	s.started = true
	s.firstWatch = now.Add(2 * s.config.DigestEvery)
	s.nextGet = now.Add(s.upTo(s.config.GetSpread))
	s.nextDigest = now.Add(s.upTo(s.config.DigestEvery))
	s.digest(1, out)
}

func (s *Sync) upTo(d time.Duration) time.Duration {
	return time.Duration(s.config.Random.Int64N(int64(d)))
}

func (s *Sync) runTimers(now time.Time, out *core.Actions) {
	if !s.nextGet.IsZero() && !now.Before(s.nextGet) {
		s.get(out)
	}
	if now.Before(s.nextDigest) {
		return
	}
	if !now.Before(s.firstWatch) {
		s.chooseWatch(out)
	}
	s.forgetAnswers(now)
	s.compareWithPeers(out)
	s.nextDigest = now.Add(s.config.DigestEvery)
}

// compareWithPeers sends the digests of one tick. After a change they go to
// more peers, since each host that lags must then be found within seconds.
func (s *Sync) compareWithPeers(out *core.Actions) {
	if s.wide == 0 {
		s.digest(1, out)
		return
	}
	s.wide--
	s.digest(s.config.Fanout, out)
}

// get reads the platform's object unless a document is known by now.
func (s *Sync) get(out *core.Actions) {
	s.nextGet = time.Time{}
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

func (s *Sync) got(reply core.PlatformReply, out *core.Actions) {
	if reply.Kind == core.OK {
		s.learnValue(reply.Value, "platform", out)
	}
}
