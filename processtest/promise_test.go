package processtest

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
)

// drainTimeout is the time within which a failure domain or upstream that is
// declared to leave must stop receiving new requests.
const drainTimeout = 3 * time.Second

// TestNoNewWorkAfterDrain drains a failure domain, and then an upstream, under
// load and puts each back into service.
func TestNoNewWorkAfterDrain(t *testing.T) {
	layout := fleet.DefaultLayout()
	f := start(t, layout)
	l := startLoad(f, layout.Index(seed))
	time.Sleep(steadyLoad)
	domain := layout.Domain(1)
	cases := []struct {
		name    string
		out, in string
		gone    func(upstream string) bool
	}{
		{
			"failure domain", domainState(domain, "out"), domainState(domain, "in"),
			func(upstream string) bool { return upstreamDomain(layout, upstream) == domain },
		},
		{
			"upstream",
			strings.Replace(upstreamText(t, f, "search-03-a"), "slots:", "state: leaving\n  slots:", 1),
			upstreamText(t, f, "search-03-a"),
			func(upstream string) bool { return upstream == "search-03-a" },
		},
	}
	for _, c := range cases {
		apply(t, f, c.out)
		declared := time.Now()
		time.Sleep(2 * drainTimeout)
		for upstream, last := range lastStarts(t, f) {
			if late := last.Sub(declared); c.gone(upstream) && late > drainTimeout {
				t.Errorf("%s: %s got work %v after it was declared", c.name, upstream, late)
			}
		}
		if share := l.wholeFraction(declared.Add(drainTimeout)); share < 0.99 {
			t.Errorf("%s out: %.3f of the answers are whole", c.name, share)
		}
		back := time.Now()
		apply(t, f, c.in)
		eventually(t, c.name+" works again", 20*time.Second, func() bool {
			for upstream, last := range lastStarts(t, f) {
				if c.gone(upstream) && last.Before(back) {
					return false
				}
			}
			return true
		})
	}
	l.end(t)
	checkUpstreams(t, f, layout)
}

func domainState(name, state string) string {
	return fmt.Sprintf("kind: FailureDomain\nname: %s\nspec: {state: %s}\n", name, state)
}

// upstreamDomain finds the failure domain of a search upstream in the layout.
func upstreamDomain(layout fleet.Layout, upstream string) string {
	for n := range layout.Services {
		for replica := range 2 {
			if fleet.Upstream(layout.Service(n), replica) == upstream {
				return layout.Domain(n + replica)
			}
		}
	}
	return "" // an upstream of CallService, which gets no load here
}

// upstreamText extracts the object of one upstream from the declaration.
func upstreamText(t *testing.T, f *fleet.Fleet, upstream string) string {
	t.Helper()
	for _, object := range strings.Split(f.Declaration(), "---\n") {
		if strings.Contains(object, "name: "+upstream+"\n") {
			return object
		}
	}
	t.Fatalf("%s is not declared", upstream)
	return ""
}

func lastStarts(t *testing.T, f *fleet.Fleet) map[string]time.Time {
	t.Helper()
	stats, err := f.Stats(false)
	if err != nil {
		t.Fatal(err)
	}
	last := map[string]time.Time{}
	for _, s := range stats {
		last[s.ID] = s.LastStart
	}
	return last
}

func apply(t *testing.T, f *fleet.Fleet, text string) {
	t.Helper()
	if err := f.ApplyText(text); err != nil {
		t.Fatal(err)
	}
}

// TestCrashingRequestIsQuarantined repeatedly sends a question that crashes the
// upstream that runs it, through every host. It must be quarantined before it
// has crashed more than two upstreams.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	layout := fleet.DefaultLayout()
	layout.Upstream.DeathQuestion = "death"
	f := start(t, layout)
	kinds := map[string]int{}
	for n := range 40 {
		h := f.Hosts[n%len(f.Hosts)]
		reply, err := h.RepeatableCall(fmt.Sprint("d", n), "a question of death", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		kinds[reply.Failure.Kind]++
		time.Sleep(50 * time.Millisecond)
	}
	stats, err := f.Stats(false)
	if err != nil {
		t.Fatal(err)
	}
	crashes := uint64(0)
	for _, s := range stats {
		crashes += s.Crashes
	}
	t.Logf("answers %v, %d crashes", kinds, crashes)
	if crashes > 2 || kinds["Quarantined"] == 0 {
		t.Errorf("%d upstreams were lost to one question; answers %v", crashes, kinds)
	}
}

// TestConfigurationNeverRollsBack changes the configuration while one host is
// frozen. Afterwards every host must apply the newest generation and keep it.
func TestConfigurationNeverRollsBack(t *testing.T) {
	layout := fleet.DefaultLayout()
	f := start(t, layout)
	frozen := f.Hosts[5]
	signal(t, frozen, syscall.SIGSTOP)
	for n := range 6 {
		state := []string{"leaving", "in"}[n%2]
		apply(t, f, domainState(layout.Domain(1), state))
	}
	newest, err := f.Hosts[0].Generation()
	if err != nil {
		t.Fatal(err)
	}
	signal(t, frozen, syscall.SIGCONT)
	eventually(t, fmt.Sprint("generation ", newest, " everywhere"), 4*time.Second, func() bool { return lowestGeneration(t, f) == newest })
	for range 20 {
		if got := lowestGeneration(t, f); got < newest {
			t.Fatalf("a host went back from generation %d to %d", newest, got)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// lowestGeneration returns the oldest generation in force on any host.
func lowestGeneration(t *testing.T, f *fleet.Fleet) uint64 {
	t.Helper()
	var low uint64
	for n, h := range f.Hosts {
		g, err := h.Generation()
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 || g < low {
			low = g
		}
	}
	return low
}
