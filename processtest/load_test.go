package processtest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// The load on one host: the number of callers, the pause of each between two
// queries, and the deadline of a query.
const (
	callersPerHost = 2
	callerPause    = 100 * time.Millisecond
	callerDeadline = time.Second
)

// load sends queries to every ready host, as a load balancer would, and checks
// each answer against the index.
type load struct {
	fleet   *fleet.Fleet
	index   *upstreamstub.Index
	stop    atomic.Bool
	running sync.WaitGroup

	mu      sync.Mutex
	replies []observed
	wrong   []string
}

// observed is the outcome of one query.
type observed struct {
	at    time.Time
	host  int
	reply fleet.Reply
	err   error
}

func startLoad(f *fleet.Fleet, index *upstreamstub.Index) *load {
	l := &load{fleet: f, index: index}
	for n, h := range f.Hosts {
		var ready atomic.Bool
		l.running.Go(func() {
			for !l.stop.Load() {
				ready.Store(!h.Ended() && h.Ready())
				time.Sleep(50 * time.Millisecond)
			}
		})
		for c := range callersPerHost {
			l.running.Go(func() { l.call(n, c, h, &ready) })
		}
	}
	return l
}

func (l *load) call(host, caller int, h *fleet.Host, ready *atomic.Bool) {
	for n := 0; !l.stop.Load(); n++ {
		time.Sleep(callerPause)
		if !ready.Load() {
			continue
		}
		question := fmt.Sprintf("plate %d-%d-%d", host, caller, n)
		reply, err := h.Query(question, question, callerDeadline)
		l.observe(question, observed{time.Now(), host, reply, err})
	}
}

func (l *load) observe(question string, o observed) {
	fault := l.check(question, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies = append(l.replies, o)
	if fault != "" {
		l.wrong = append(l.wrong, fault)
	}
}

// check describes what is wrong with a reply, or returns "". A successful answer
// must carry the id of its request and exactly the results that the index has in
// the ranges that the answer reports as covered.
func (l *load) check(question string, o observed) string {
	if o.err != nil || o.reply.Status != 200 {
		return ""
	}
	a := o.reply.Answer
	if a.RequestID != question || a.Snapshot != fleet.Version {
		return fmt.Sprintf("%s: answer to %s at snapshot %d", question, a.RequestID, a.Snapshot)
	}
	var covered []upstreamstub.KeyRange
	for _, r := range a.Coverage.Covered {
		covered = append(covered, upstreamstub.KeyRange(r))
	}
	want := l.index.Search(covered, []byte(question), 5)
	same := func(got, want any) bool { return fmt.Sprint(got) == fmt.Sprint(want) }
	if !same(a.Results, want) {
		return fmt.Sprintf("%s: covered %v, got %v, want %v", question, covered, a.Results, want)
	}
	return ""
}

// end stops the callers and fails the test on any wrong answer.
func (l *load) end(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.running.Wait()
	for _, fault := range l.wrong {
		t.Error("wrong answer:", fault)
	}
	t.Log(l.summary(time.Time{}))
}

// since returns the outcomes after a point in time.
func (l *load) since(from time.Time) []observed {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late []observed
	for _, o := range l.replies {
		if o.at.After(from) {
			late = append(late, o)
		}
	}
	return late
}

// wholeFraction returns the fraction of queries after a point in time that got a
// whole answer.
func (l *load) wholeFraction(from time.Time) float64 {
	all := l.since(from)
	n := 0
	for _, o := range all {
		if o.err == nil && whole(o.reply) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(all)))
}

// unanswered counts the requests without an answer, by host.
func (l *load) unanswered(from time.Time) map[int]int {
	counts := map[int]int{}
	for _, o := range l.since(from) {
		if o.err != nil {
			counts[o.host]++
		}
	}
	return counts
}

// missing counts the shards missing from answers by service, kind and upstream.
func (l *load) missing(from time.Time) map[string]int {
	counts := map[string]int{}
	for _, o := range l.since(from) {
		for _, s := range o.reply.Answer.Shards {
			if s.Kind != "OK" {
				counts[s.Service+" "+s.Kind+" "+s.Upstream]++
			}
		}
	}
	return counts
}

// failures counts the unsuccessful answers.
func (l *load) failures(from time.Time) int {
	n := 0
	for _, o := range l.since(from) {
		if o.err == nil && o.reply.Status != 200 {
			n++
		}
	}
	return n
}

// summary returns the counts of the outcomes as text.
func (l *load) summary(from time.Time) string {
	counts := map[string]int{}
	for _, o := range l.since(from) {
		switch {
		case o.err != nil:
			counts["no answer"]++
		case whole(o.reply):
			counts["whole"]++
		case o.reply.Status == 200:
			counts["partial"]++
		default:
			counts[o.reply.Failure.Kind]++
		}
	}
	text := ""
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%s %d; ", outcome, counts[outcome])
	}
	return text
}
