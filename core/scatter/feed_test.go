package scatter_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/core/schedule"
)

// feedSim is a store that is restored from copies, hosts that read it, and hosts
// that follow the readers. Everything that travels is delayed at random.
type feedSim struct {
	now    time.Time
	random *rand.Rand
	later  schedule.Timers[func()]
	store  feedState
	copies []feedState
	log    map[core.Position]feedChange // all changes, by position
	hosts  []*feedHost
}

type feedState struct {
	at      core.Position
	objects map[string]uint64 // value by name
}

type feedChange struct {
	name  string
	value uint64
}

// feedMessage is an update with its content.
type feedMessage struct {
	scatter.FeedUpdate
	objects map[string]uint64
}

type feedHost struct {
	cursor    scatter.FeedCursor
	objects   map[string]uint64
	followers []*feedHost
	busyUntil map[*feedHost]time.Time // messages on one stream keep their order
}

func (s *feedSim) write() {
	change := feedChange{string(rune('a' + s.random.IntN(5))), s.random.Uint64()}
	s.store.at.Revision++
	s.store.objects[change.name] = change.value
	s.log[s.store.at] = change
	if s.random.IntN(3) == 0 {
		s.copies = append(s.copies, feedState{s.store.at, maps.Clone(s.store.objects)})
	}
}

func (s *feedSim) restore() {
	if len(s.copies) == 0 {
		return
	}
	old := s.copies[s.random.IntN(len(s.copies))]
	s.store = feedState{core.Position{Era: s.store.at.Era + 1, Revision: old.at.Revision}, maps.Clone(old.objects)}
}

// read makes a host read the store: the changes since its position, or everything.
func (s *feedSim) read(h *feedHost) {
	at, loaded := h.cursor.Position()
	if !loaded || at.Era != s.store.at.Era || s.random.IntN(10) == 0 {
		s.apply(h, feedMessage{scatter.FeedUpdate{Reset: true, Era: s.store.at.Era, Revision: s.store.at.Revision}, maps.Clone(s.store.objects)})
		return
	}
	changes := map[string]uint64{}
	for r := at.Revision + 1; r <= s.store.at.Revision; r++ {
		c := s.log[core.Position{Era: at.Era, Revision: r}]
		changes[c.name] = c.value
	}
	s.apply(h, feedMessage{scatter.FeedUpdate{Era: at.Era, Base: at.Revision, Revision: s.store.at.Revision}, changes})
}

func (s *feedSim) apply(h *feedHost, m feedMessage) (applied bool) {
	decision, _ := h.cursor.Decide(m.FeedUpdate)
	if decision != scatter.ApplyUpdate {
		return decision == scatter.IgnoreUpdate
	}
	if m.Reset {
		clear(h.objects)
	}
	maps.Copy(h.objects, m.objects)
	h.cursor.Advance(m.FeedUpdate)
	for _, f := range h.followers {
		s.send(h, f, m)
	}
	return true
}

// send passes an update to a follower, or the whole state if the follower needs it.
func (s *feedSim) send(from, to *feedHost, m feedMessage) {
	at := s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))
	if at.Before(from.busyUntil[to]) {
		at = from.busyUntil[to]
	}
	from.busyUntil[to] = at
	s.later.Add(at, func() {
		if s.apply(to, m) {
			return
		}
		if at, loaded := from.cursor.Position(); loaded {
			s.apply(to, feedMessage{scatter.FeedUpdate{Reset: true, Era: at.Era, Revision: at.Revision}, maps.Clone(from.objects)})
		}
	})
}

func (s *feedSim) run(until time.Time) {
	for next := s.later.Next(); !next.IsZero() && !next.After(until); next = s.later.Next() {
		s.now = next
		fire, _ := s.later.Pop(next)
		fire()
	}
	s.now = until
}

// TestHostsMissWhatARestoredStoreWrites: whatever the delays, all hosts end with the
// state of the store, though it gives revisions out again and some hosts lag behind.
func TestHostsMissWhatARestoredStoreWrites(t *testing.T) {
	for seed := range uint64(200) {
		s := &feedSim{now: epoch, random: rand.New(rand.NewPCG(seed, 4)), store: feedState{core.Position{Era: 1}, map[string]uint64{}}, log: map[core.Position]feedChange{}}
		for range 8 {
			s.hosts = append(s.hosts, &feedHost{objects: map[string]uint64{}, busyUntil: map[*feedHost]time.Time{}})
		}
		readers := s.hosts[:3]
		for i, h := range s.hosts {
			for n := range 2 { // readers follow each other too
				if r := readers[(i+n)%3]; r != h {
					r.followers = append(r.followers, h)
				}
			}
		}
		for end := s.now.Add(30 * time.Second); s.now.Before(end); s.run(s.now.Add(time.Duration(s.random.Int64N(int64(300 * ms))))) {
			s.write()
			s.read(readers[s.random.IntN(3)])
			if s.random.IntN(20) == 0 {
				s.restore()
			}
		}
		for _, r := range readers {
			s.read(r)
		}
		s.run(s.now.Add(time.Minute))
		for i, h := range s.hosts {
			if at, _ := h.cursor.Position(); at != s.store.at || !maps.Equal(h.objects, s.store.objects) {
				t.Fatalf("seed %d: host %d is at %+v, the store at %+v", seed, i, at, s.store.at)
			}
		}
	}
}
